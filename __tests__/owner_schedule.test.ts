import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import fc from 'fast-check';
import {HEADERS} from '../src/internal.js';
import {
  nextTurn,
  startOwner,
  type OwnerHarness,
  type Reply,
} from './support/owner_harness.js';
import {UpstreamFake} from './support/upstream_fake.js';

const clock = install({toFake: ['setTimeout', 'clearTimeout']});

const SENDS = new Array<'send'>(8).fill('send');
const OTHER_STEPS = ['release', 'release', 'crash', 'restart', 'pass'] as const;

// Each kind of step uses only the fields that it needs.
const step = fc.record({
  do: fc.constantFrom(...SENDS, ...OTHER_STEPS),
  key: fc.nat(5),
  owner: fc.nat(2),
  path: fc.constantFrom('/ok', '/hold', '/hold', '/shed', '/cut', '/reset'),
  skewMs: fc.integer({min: -7e5, max: 7e5}),
  ms: fc.constantFrom(300, 6_000, 700_000),
});

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

async function waitForIo(): Promise<void> {
  for (let i = 0; i < 20; i++) await nextTurn();
}

/** Runs a schedule over sockets; returns the faults found in the ledger. */
async function runSchedule(
  schedule: Step[],
  keyed: boolean,
): Promise<string[]> {
  const fake = new UpstreamFake();
  await fake.start();
  // Earlier processes stay, as a paused one may resume after its successor.
  const owners: OwnerHarness[] = [];
  const keys: string[] = [];
  const replies = new Map<string, Reply | undefined>();
  const restart = async (skewMs: number) => {
    const boot = String(owners.length).padStart(16, '0');
    const harness = await startOwner(clock, fake, boot, skewMs);
    owners.push(harness);
    keys.push(
      harness.mint(`n${keys.length}`),
      harness.mint(`n${keys.length}b`),
    );
  };
  const send = async (s: Step) => {
    const n = s.key % keys.length;
    const id = `k${n}-${replies.size}`;
    replies.set(id, undefined);
    const key = keyed ? keys[n] : undefined;
    const options = {key, fingerprintText: `k${n}`, path: `${s.path}?k=${n}`};
    replies.set(id, await owners[s.owner % owners.length].send(id, options));
  };
  const steps: Record<Step['do'], (s: Step) => unknown> = {
    send: s => void send(s),
    release: () => fake.held.shift()?.(),
    crash: () => fake.crash().then(() => fake.start()),
    restart: s => restart(s.skewMs),
    pass(s) {
      clock.tick(s.ms);
      for (const harness of owners) harness.owner.tick(clock.now);
    },
  };
  await restart(0);
  for (const s of schedule) {
    await steps[s.do](s);
    await waitForIo();
  }
  while ([...replies.values()].includes(undefined)) {
    fake.held.shift()?.();
    clock.tick(250);
    await waitForIo();
  }
  for (const harness of owners) await harness.close();
  await fake.crash();
  return findFaults(fake, replies);
}

function findFaults(
  fake: UpstreamFake,
  replies: Map<string, Reply | undefined>,
): string[] {
  const faults: string[] = [];
  for (let n = 0; n < 6; n++) {
    const runs = fake.ledger.filter(entry => entry.path.endsWith(`?k=${n}`));
    if (runs.length > 1) faults.push(`key ${n} ran ${runs.length} times`);
  }
  for (const [id, reply] of replies) {
    const verdict = reply?.headers[HEADERS.verdict];
    const runs = fake.runs(id).length;
    if (verdict === 'not-run' && runs > 0) faults.push(`${id} was run`);
  }
  return faults;
}

test('a key runs at most once, and a not-run request never ran', async t => {
  const schedules = fc.array(step, {minLength: 15, maxLength: 40});
  const withKeys = fc.asyncProperty(schedules, async schedule => {
    const faults = await runSchedule(schedule, true);
    if (faults.length > 0) throw new Error(faults.join('; '));
  });
  await fc.assert(withKeys, {
    seed: 23,
    numRuns: 40,
    endOnFailure: true,
    includeErrorInReport: true,
  });
  const withoutKeys = fc.asyncProperty(schedules, async schedule => {
    const faults = await runSchedule(schedule, false);
    return !faults.some(fault => fault.includes('times'));
  });
  const checked = await fc.check(withoutKeys, {
    seed: 23,
    numRuns: 5,
    endOnFailure: true,
  });
  t.true(checked.failed, 'without keys, some request must run more than once');
});
