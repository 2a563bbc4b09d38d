import {parseArgs} from 'node:util';
import {createDecisionLog} from '../src/sidecar/decision_log.js';

// Measures what the decision log costs a request: processor time of the lines
// that entry and owner write for one that is refused, at rates below and above
// the bound. npm run bench:log -- --seconds 5

/** Refused requests per second: the bound on notable lines is 200. */
const RATES = [0, 50, 400, 2_000];

const LINE = {
  request: '9c41d07be2a35f68',
  outcome: 'full',
  status: 503,
  route: 'r-cs8z7p8',
  service: 'mifi92a',
  version: 4,
  upstream: 'i-b515bcbe29',
  offers: 2,
  arrivals: 0,
  ms: 15,
  leftMs: 985,
};

/** Processor time of writing lines at a rate, microseconds per line. */
async function measure(rate: number, seconds: number): Promise<number> {
  let written = 0;
  const log = createDecisionLog({
    id: 'bench',
    dataCentre: 'dc1',
    now: () => performance.now(),
    out: (_text, done) => done(),
  });
  const endAt = performance.now() + seconds * 1_000;
  const startedAt = performance.now();
  const before = process.cpuUsage();
  while (performance.now() < endAt) {
    const due = ((performance.now() - startedAt) / 1_000) * rate;
    for (; written < due; written++) log.write('notable', 'request', LINE);
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  const {user, system} = process.cpuUsage(before);
  await log.close();
  return user + system;
}

const {values} = parseArgs({options: {seconds: {type: 'string'}}});
const seconds = Number(values.seconds ?? 5);
// The first run pays for compilation.
await measure(400, 1);
const idle = await measure(0, seconds);
for (const rate of RATES.slice(1)) {
  const total = await measure(rate, seconds);
  const each = (total - idle) / (rate * seconds);
  process.stdout.write(
    `${rate} lines a second: ${each.toFixed(1)} us of processor time a line\n`,
  );
}
