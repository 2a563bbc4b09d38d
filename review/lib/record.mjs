// Record of one case: what was sent, answered and run, with the time since the
// start of the script in milliseconds.
import {createWriteStream} from 'node:fs';

const startedAt = performance.now();

/** Opens the record file; `write` appends one line. */
export function openRecord(file) {
  const out = createWriteStream(file);
  return {
    write(who, text) {
      const ms = (performance.now() - startedAt).toFixed(1).padStart(9);
      out.write(`${ms} ${who.padEnd(12)} ${text}\n`);
    },
    close: () => new Promise(resolve => out.end(resolve)),
  };
}
