import {writeFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {createRandom, KEYS_PATH} from '../src/internal.js';
import {
  createCustomer,
  startLoad,
  type Customer,
  type LoadCounts,
} from './customer.js';
import {loadExample} from './example.js';
import {startFleet, type Fleet, type InstanceSpec} from './fleet.js';

// Runs a scaled-down deployment 1 in separate processes and checks requests,
// patches, keys and the take-out of a data centre.

const TIMEOUT_MS = 58_000;
const LOAD_PER_SECOND = 40;
const DATA_CENTRE = 'howrah';

/** Time after which a data centre taken out receives no new requests, ms. */
const TAKE_OUT_MS = 4_000;
const OBSERVE_MS = 3_000;
const CONVERGENCE_MS = 6_000;

const INSTANCES: InstanceSpec[] = ['howrah', 'salt-lake', 'barasat'].flatMap(
  (dataCentre, i) => [
    {id: `catalogue-${i + 1}`, service: 'catalogue', dataCentre},
    {id: `dyehouse-${i + 1}`, service: 'dyehouse', dataCentre},
  ],
);

/** Result of one check; `detail` holds the observed values. */
interface Check {
  readonly name: string;
  readonly ok: boolean;
  readonly detail: string;
}

const checks: Check[] = [];

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function recordCheck(name: string, holds: boolean, detail = ''): void {
  print(`  ${holds ? 'ok  ' : 'FAIL'} ${name}${detail && `: ${detail}`}`);
  checks.push({name, ok: holds, detail});
}

function formatMs(ms: number): string {
  return `${Math.round(ms)} ms`;
}

function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

async function checkRequests(fleet: Fleet, customer: Customer): Promise<void> {
  print('Requests through several entries');
  for (const [entry, path] of [
    ['catalogue-1', '/catalogue/items/7'],
    ['dyehouse-2', '/catalogue/stock/7'],
    ['catalogue-3', '/dye/status/7'],
  ]) {
    const {customerUrl} = fleet.get(entry).daemon;
    const answer = await customer.send(customerUrl, {path});
    const {status, verdict, body} = answer;
    recordCheck(
      `${path} at ${entry}`,
      status === 200 && verdict === 'ran',
      `${status} ${verdict} ${body.toString('utf8').slice(0, 80)}`,
    );
  }
  const {customerUrl} = fleet.get('dyehouse-1').daemon;
  const refused = await customer.send(customerUrl, {path: '/orders/1'});
  recordCheck(
    'a route whose service has no upstream is refused as not run',
    refused.verdict === 'not-run' && refused.reason === 'no-upstream',
    `${refused.status} ${refused.verdict} ${refused.reason}`,
  );
}

async function checkPatch(fleet: Fleet): Promise<void> {
  print('Patch');
  const {version} = fleet.publishPatch('shorter stock checks', document => {
    document.routes['stock-checks'].timeoutMs = 800;
  });
  const tookMs = await fleet.waitVersion(CONVERGENCE_MS);
  recordCheck(
    `version ${version} in force in ${INSTANCES.length} daemons`,
    true,
    formatMs(tookMs),
  );
}

async function checkBooking(fleet: Fleet, customer: Customer): Promise<void> {
  print('A booking with an idempotency key, sent twice');
  const path = '/dye/bookings?op=bath-1';
  const [first, second] = ['catalogue-1', 'dyehouse-3'].map(
    id => fleet.get(id).daemon.customerUrl,
  );
  const minted = await customer.send(first, {
    path: `${KEYS_PATH}?path=/dye/bookings&method=POST`,
    method: 'POST',
  });
  const key = minted.key;
  recordCheck('a key is minted', key.startsWith('bk1~'), key.slice(0, 40));
  if (!key) return;
  const booking = {
    path,
    method: 'POST' as const,
    headers: {'idempotency-key': key},
    body: '{"bath":1}',
  };
  const answers = [
    await customer.send(first, booking),
    await customer.send(second, booking),
  ];
  const runs = fleet.ledger.findByOperation('bath-1').length;
  recordCheck('the ledger has one run', runs === 1, `${runs}`);
  recordCheck(
    'both answers are the same',
    answers.every(({status, verdict}) => status === 200 && verdict === 'ran') &&
      answers[0].body.equals(answers[1].body),
    answers.map(({status, verdict}) => `${status} ${verdict}`).join(', '),
  );
}

function countRuns(fleet: Fleet, dataCentre: string): number {
  const ids = fleet.instances
    .filter(instance => instance.dataCentre === dataCentre)
    .map(instance => instance.id);
  return fleet.ledger.runs.filter(run => ids.includes(run.upstream)).length;
}

async function setDataCentreState(
  fleet: Fleet,
  state: 'in' | 'out',
): Promise<void> {
  fleet.publishPatch(`${DATA_CENTRE} ${state}`, document => {
    document.dataCentres[DATA_CENTRE].state = state;
  });
  const tookMs = await fleet.waitVersion(CONVERGENCE_MS);
  recordCheck(`${DATA_CENTRE} is ${state} everywhere`, true, formatMs(tookMs));
}

async function checkTakeOut(fleet: Fleet, customer: Customer): Promise<void> {
  print(`${DATA_CENTRE} is taken out and brought back under load`);
  const entries = fleet.instances.map(({daemon}) => daemon.customerUrl);
  const load = startLoad(
    customer,
    entries,
    LOAD_PER_SECOND,
    n => ({path: `/catalogue/items/${n}`}),
    createRandom(1),
  );
  await delay(OBSERVE_MS);
  const before = countRuns(fleet, DATA_CENTRE);
  recordCheck(`${DATA_CENTRE} serves at first`, before > 0, `${before} runs`);
  await setDataCentreState(fleet, 'out');
  await delay(TAKE_OUT_MS);
  const settledRuns = countRuns(fleet, DATA_CENTRE);
  await delay(OBSERVE_MS);
  const runsWhileOut = countRuns(fleet, DATA_CENTRE) - settledRuns;
  recordCheck(
    `${DATA_CENTRE} receives no new requests while out`,
    runsWhileOut === 0,
    `${runsWhileOut} runs`,
  );
  await setDataCentreState(fleet, 'in');
  await fleet.waitFor(
    `${DATA_CENTRE} serves again`,
    () => countRuns(fleet, DATA_CENTRE) > settledRuns,
    CONVERGENCE_MS,
  );
  await delay(OBSERVE_MS);
  const after = countRuns(fleet, DATA_CENTRE) - settledRuns;
  recordCheck(`${DATA_CENTRE} serves again`, after > 0, `${after} runs`);
  reportLoad(await load.stop());
}

function reportLoad(counts: LoadCounts): void {
  const {sent, answered, refused, unclear, failed, reasons} = counts;
  const detail =
    `${sent} sent, ${answered} answered, ${refused} refused as not run, ` +
    `${unclear} unclear, ${failed} failed ${JSON.stringify(reasons)}`;
  recordCheck(
    'every request is answered or refused as not run',
    sent > 0,
    detail,
  );
  recordCheck('no request is unclear or failed', unclear + failed === 0);
}

async function runDemo(fleet: Fleet, customer: Customer): Promise<void> {
  print(`${INSTANCES.length} upstreams and daemons in 3 data centres`);
  const tookMs = await fleet.waitReady(20_000);
  await fleet.waitVersion(CONVERGENCE_MS);
  recordCheck('every daemon is ready', true, formatMs(tookMs));
  await checkRequests(fleet, customer);
  await checkPatch(fleet);
  await checkBooking(fleet, customer);
  await checkTakeOut(fleet, customer);
  const {counts} = fleet.config;
  print(
    `Configuration service: ${counts.calls} calls, at most ` +
      `${counts.peakPerSecond} within a second, ${counts.bytesOut} bytes`,
  );
}

async function stopAll(fleet: Fleet, customer: Customer): Promise<void> {
  await customer.close();
  if (checks.some(({ok}) => !ok)) {
    for (const {id, daemon} of fleet.instances) {
      print(`Last log lines of ${id}:\n  ${daemon.readLog(3).join('\n  ')}`);
    }
  }
  const codes = await fleet.stop();
  const failures = Object.entries(codes).filter(([, code]) => code !== 0);
  print('Stop');
  recordCheck(
    'every daemon exits with code 0',
    failures.length === 0,
    String(failures),
  );
}

/** Writes the results as JSON; throws if the file cannot be written. */
function writeReport(path: string, ok: boolean, seconds: number): void {
  const report = {ok, seconds, checks};
  writeFileSync(path, `${JSON.stringify(report, null, 2)}\n`);
  print(`Report: ${path}`);
}

async function main(): Promise<void> {
  const {values} = parseArgs({options: {report: {type: 'string'}}});
  const startedAt = performance.now();
  // Without a signal handler the fleet's exit handler would not run.
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => process.exit(1));
  }
  const customer = createCustomer();
  const fleet = await startFleet({
    instances: INSTANCES,
    document: loadExample('deployment-1'),
  });
  // On timeout, the fleet's exit handler kills the daemons.
  const timer = setTimeout(() => {
    print(`FAIL: the demo timed out after ${TIMEOUT_MS} ms`);
    process.exit(1);
  }, TIMEOUT_MS);
  try {
    await runDemo(fleet, customer);
  } catch (err) {
    recordCheck(err instanceof Error ? err.message : String(err), false);
  } finally {
    await stopAll(fleet, customer);
    clearTimeout(timer);
  }
  const seconds = Number(((performance.now() - startedAt) / 1_000).toFixed(1));
  const failed = checks.filter(({ok}) => !ok).length;
  print(
    failed === 0
      ? `All checks passed (${seconds} s)`
      : `${failed} checks failed (${seconds} s)`,
  );
  process.exitCode = failed === 0 ? 0 : 1;
  if (values.report) writeReport(values.report, failed === 0, seconds);
}

await main();
