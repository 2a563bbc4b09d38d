import test from 'ava';
import fc from 'fast-check';
import {CRASH_BUDGET, type MemberRecord} from '../src/internal.js';
import {startNaiveProxy} from './support/naive_proxy.js';
import {
  call,
  linkEntries,
  startEntry,
  startOwner,
  type OwnerFake,
  type Reply,
  type Run,
  type Step,
} from './support/owner_fake.js';

const UPSTREAMS = 4;

/** One customer request with the step at each of its arrivals. */
interface PlannedRequest {
  readonly booking: boolean;
  readonly steps: Step[];
  /** Upstreams that refuse connections while the request runs. */
  readonly down: number[];
}

const STEPS: Step[] = [
  'answer',
  'full',
  'resetBefore',
  'resetAfter',
  'cut',
  'crossed',
  'deadlineTooShort',
];

const plannedRequest: fc.Arbitrary<PlannedRequest> = fc.record({
  booking: fc.boolean(),
  steps: fc.array(fc.constantFrom(...STEPS), {maxLength: 4}),
  down: fc.uniqueArray(fc.nat({max: UPSTREAMS - 1}), {maxLength: 2}),
});

const schedules = fc.array(plannedRequest, {minLength: 1, maxLength: 12});

async function startOwners(
  ledger: Run[],
  count: number,
): Promise<{owners: OwnerFake[]; records: MemberRecord[]}> {
  const owners = await Promise.all(
    Array.from({length: count}, (_, i) =>
      startOwner(ledger, {id: `u${i}`, dataCentre: i % 2 ? 'dc-a' : 'dc-b'}),
    ),
  );
  return {owners, records: owners.map(owner => owner.record)};
}

/** Compares one reply with the ledger; returns the faults found. */
function audit(
  reply: Reply,
  label: string,
  booking: boolean,
  ledger: readonly Run[],
): string[] {
  const runs = ledger.filter(run => run.label === label).length;
  const faults: string[] = [];
  if (booking && runs > 1) faults.push('ran twice');
  if (reply.verdict === 'not-run' && runs > 0) faults.push('false not-run');
  if (reply.status === 200 && reply.body !== `answer to ${label}`) {
    faults.push('wrong answer');
  }
  return faults;
}

/** Runs generated schedules against one port; counts the faults by kind. */
async function runSchedules(
  port: number,
  owners: readonly OwnerFake[],
  ledger: Run[],
  afterSchedule: () => void,
): Promise<Map<string, number>> {
  const found = new Map<string, number>();
  let sequence = 0;
  const property = fc.asyncProperty(schedules, async schedule => {
    for (const {booking, steps, down} of schedule) {
      const label = `request-${sequence++}`;
      let arrivals = 0;
      for (const owner of owners) {
        owner.step = () => steps[arrivals++] ?? 'answer';
      }
      await Promise.all(down.map(i => owners[i].stop()));
      const headers = {'x-label': label};
      const path = booking ? '/book' : '/read';
      const method = booking ? 'POST' : 'GET';
      const reply = await call(port, method, path, {headers});
      await Promise.all(down.map(i => owners[i].start()));
      for (const fault of audit(reply, label, booking, ledger)) {
        found.set(fault, (found.get(fault) ?? 0) + 1);
      }
    }
    afterSchedule();
  });
  await fc.assert(property, {seed: 41, numRuns: 40, endOnFailure: true});
  return found;
}

test('no booking runs twice and no refusal is false, unlike with blind retries', async t => {
  const ledger: Run[] = [];
  const {owners, records} = await startOwners(ledger, UPSTREAMS);
  const entry = await startEntry(records);
  const entryFaults = await runSchedules(entry.port, owners, ledger, () => {
    entry.now += 60_000;
  });
  t.deepEqual([...entryFaults], []);
  const naive = await startNaiveProxy(records);
  const naiveFaults = await runSchedules(naive.port, owners, ledger, () => {});
  t.true((naiveFaults.get('ran twice') ?? 0) > 0);
  t.true((naiveFaults.get('false not-run') ?? 0) > 0);
  await naive.stop();
  await entry.stop();
  await Promise.all(owners.map(owner => owner.stop()));
});

/** Sends a crashing request in parallel and then repeatedly; counts its runs. */
async function sendCrashingRequests(
  ports: readonly number[],
  owners: readonly OwnerFake[],
  ledger: Run[],
  parallel: number,
  booking: boolean,
): Promise<number> {
  const before = ledger.length;
  const send = (i: number) =>
    call(
      ports[i % ports.length],
      booking ? 'POST' : 'GET',
      booking ? '/book' : '/read',
      {headers: {'x-label': 'poison'}},
    );
  const restartUpstreams = () =>
    owners.forEach(owner => (owner.crashed = false));
  await Promise.all(Array.from({length: parallel}, (_, i) => send(i)));
  for (let i = 0; i < 8; i++) {
    // Upstreams restart at once: the worst case for the next copy.
    restartUpstreams();
    await send(i);
  }
  restartUpstreams();
  return ledger.length - before;
}

test('a request that crashes upstreams is stopped after its crash budget', async t => {
  const ledger: Run[] = [];
  const {owners, records} = await startOwners(ledger, 8);
  for (const owner of owners) {
    owner.step = ({label}) => (label === 'poison' ? 'crash' : 'answer');
  }
  const setup = fc.record({
    entries: fc.integer({min: 1, max: 3}),
    parallel: fc.integer({min: 1, max: 3}),
    booking: fc.boolean(),
  });
  await fc.assert(
    fc.asyncProperty(setup, async ({entries: size, parallel, booking}) => {
      const entries = await Promise.all(
        Array.from({length: size}, (_, i) =>
          startEntry(records, {id: `entry-${i}`, seed: i + 1}),
        ),
      );
      linkEntries(entries);
      const ports = entries.map(entry => entry.port);
      const crashes = await sendCrashingRequests(
        ports,
        owners,
        ledger,
        parallel,
        booking,
      );
      const fine = await call(ports[0], 'GET', '/read/fine', {
        headers: {'x-label': 'fine'},
      });
      await Promise.all(entries.map(entry => entry.stop()));
      // Copies in flight at the first report may crash upstreams as well.
      return crashes <= CRASH_BUDGET + parallel - 1 && fine.status === 200;
    }),
    {seed: 43, numRuns: 30},
  );
  const naive = await startNaiveProxy(records);
  const naiveCrashes = await sendCrashingRequests(
    [naive.port],
    owners,
    ledger,
    1,
    true,
  );
  t.true(naiveCrashes > CRASH_BUDGET, String(naiveCrashes));
  await naive.stop();
  await Promise.all(owners.map(owner => owner.stop()));
});
