import {rmSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {findLogLines, runSoak} from './soak.js';

// Runs the fault soak: npm run soak -- --seed 7 --runs 10 --seconds 12

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    runs: {type: 'string', default: '1'},
    seconds: {type: 'string', default: '12'},
    daemons: {type: 'string', default: '6'},
    rate: {type: 'string', default: '60'},
    connections: {type: 'string', default: '2'},
    kinds: {type: 'string'},
  },
});
const [firstSeed, runs, seconds, daemons, perSecond, connections] = [
  values.seed,
  values.runs,
  values.seconds,
  values.daemons,
  values.rate,
  values.connections,
].map(Number);
// Without a handler a signal would skip the exit handler that kills daemons.
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(1));
}
let failed = 0;
for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
  const result = await runSoak({
    ...{seed, seconds, daemons, requestsPerSecond: perSecond, connections},
    checksTiming: true,
    kinds: values.kinds?.split(','),
  });
  const {violations, statuses, faults, largestMb, dir} = result;
  const counts = [...statuses].map(([status, count]) => `${status}: ${count}`);
  const outcome = violations.length === 0 ? 'kept' : 'BROKEN';
  counts.push(`${Math.round(largestMb)} MB`);
  process.stdout.write(`seed ${seed} ${outcome}, ${counts.join(', ')}\n`);
  if (violations.length === 0) {
    rmSync(dir, {recursive: true});
    continue;
  }
  failed++;
  const daemonNames = Array.from({length: daemons}, (_, i) => `d${i}`);
  const requestId = /\b[rkp]\d+\b|\b(?:p-d|[cs])\d+-\d+\b/.exec(
    violations[0],
  )?.[0];
  const logLines = requestId
    ? findLogLines(dir, daemonNames, `"${requestId}"`)
    : [];
  const chosenKinds = values.kinds ? ` --kinds ${values.kinds}` : '';
  const rows = [...violations.slice(0, 10), 'faults:', ...faults, ...logLines];
  process.stdout.write(
    `${rows.join('\n')}\nlogs: ${dir}\nrerun: npm run soak -- --seed ${seed} ` +
      `--seconds ${seconds} --daemons ${daemons} --rate ${perSecond} ` +
      `--connections ${connections}${chosenKinds}\n`,
  );
}
process.exitCode = failed === 0 ? 0 : 1;
