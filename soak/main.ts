import {rmSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {findLines, runSoak} from './soak.js';

// Runs the fault soak: npm run soak -- --seed 7 --runs 10 --seconds 12

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    runs: {type: 'string', default: '1'},
    seconds: {type: 'string', default: '12'},
    daemons: {type: 'string', default: '6'},
    rate: {type: 'string', default: '60'},
  },
});
const [first, runs, seconds, daemons, perSecond] = [
  values.seed,
  values.runs,
  values.seconds,
  values.daemons,
  values.rate,
].map(Number);
// Without a handler a signal would skip the exit handler of a run.
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(1));
}
let failed = 0;
for (let seed = first; seed < first + runs; seed++) {
  const result = await runSoak({
    ...{seed, seconds, daemons, perSecond},
    timed: true,
  });
  const {broken, statuses, faults, dir} = result;
  const counts = [...statuses].map(([status, n]) => `${status}: ${n}`);
  const verdict = broken.length === 0 ? 'kept' : 'BROKEN';
  process.stdout.write(`seed ${seed} ${verdict}, ${counts.join(', ')}\n`);
  if (broken.length === 0) {
    rmSync(dir, {recursive: true});
    continue;
  }
  failed++;
  const names = Array.from({length: daemons}, (_, i) => `d${i}`);
  const id = /\b[rp]\d+\b|\bp-d\d+-\d+\b/.exec(broken[0])?.[0];
  const lines = id ? findLines(dir, names, `"${id}"`) : [];
  const text = [...broken.slice(0, 10), 'faults:', ...faults, ...lines];
  process.stdout.write(
    `${text.join('\n')}\nlogs: ${dir}\nagain: npm run soak -- --seed ${seed} ` +
      `--seconds ${seconds} --daemons ${daemons} --rate ${perSecond}\n`,
  );
}
process.exitCode = failed === 0 ? 0 : 1;
