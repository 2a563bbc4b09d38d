import {write} from 'node:fs';

/** Pause before a full output is written again, ms. */
const FULL_OUTPUT_PAUSE_MS = 50;

/** Writes text to the output; calls `done` when it can accept more. */
export type WriteOut = (text: string, done: () => void) => void;

/** Writes to standard output through the thread pool: a consumer that stops
 * reading blocks a thread of the pool and never the event loop. */
export const writeStdout: WriteOut = (text, done) => {
  const bytes = Buffer.from(text);
  const writeFrom = (from: number): void => {
    write(1, bytes, from, bytes.length - from, null, (err, written) => {
      if (err?.code === 'EAGAIN') {
        setTimeout(writeFrom, FULL_OUTPUT_PAUSE_MS, from);
        return;
      }
      // Logging ends when standard output is closed; requests continue.
      if (err) return;
      const next = from + written;
      if (next >= bytes.length) done();
      else writeFrom(next);
    });
  };
  writeFrom(0);
};
