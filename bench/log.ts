import {parseArgs} from 'node:util';
import {createDecisionLog} from '../src/sidecar/decision_log.js';

// Measures the CPU time of the decision log per line, with lines such as entry
// and owner write for a refused request, at rates below and above the limit.
// npm run bench:log -- --seconds 5

/** Refused requests per second; notable lines are limited to 200 per second. */
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

/** Returns the CPU time of writing lines at a rate for some seconds, us. */
async function measureCpuUs(rate: number, seconds: number): Promise<number> {
  let written = 0;
  const log = createDecisionLog({
    id: 'bench',
    dataCentre: 'dc1',
    now: () => performance.now(),
    out: (_text, done) => done(),
  });
  const endAt = performance.now() + seconds * 1_000;
  const startedAt = performance.now();
  const cpuBefore = process.cpuUsage();
  while (performance.now() < endAt) {
    const due = ((performance.now() - startedAt) / 1_000) * rate;
    for (; written < due; written++) log.write('notable', 'request', LINE);
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  const {user, system} = process.cpuUsage(cpuBefore);
  await log.close();
  return user + system;
}

const {values} = parseArgs({options: {seconds: {type: 'string'}}});
const seconds = Number(values.seconds ?? 5);
// Warm-up, so that compilation is not measured.
await measureCpuUs(400, 1);
const idleUs = await measureCpuUs(0, seconds);
for (const rate of RATES.slice(1)) {
  const totalUs = await measureCpuUs(rate, seconds);
  const usPerLine = (totalUs - idleUs) / (rate * seconds);
  process.stdout.write(
    `${rate} lines/s: ${usPerLine.toFixed(1)} us of CPU time per line\n`,
  );
}
