import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import fc from 'fast-check';
import {HEADERS} from '../src/internal.js';
import {startOwner, type OwnerRig, type Reply} from './support/owner_rig.js';
import {UpstreamFake} from './support/upstream_fake.js';

const clock = install({toFake: ['setTimeout', 'clearTimeout']});

const step = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      do: fc.constant('send' as const),
      key: fc.nat(2),
      owner: fc.nat(2),
      path: fc.constantFrom('/ok', '/hold', '/hold', '/shed', '/cut', '/reset'),
    }),
  },
  {weight: 2, arbitrary: fc.record({do: fc.constant('release' as const)})},
  fc.record({do: fc.constant('crash' as const)}),
  fc.record({
    do: fc.constant('restart' as const),
    skewMs: fc.integer({min: -7e5, max: 7e5}),
  }),
  fc.record({
    do: fc.constant('pass' as const),
    ms: fc.constantFrom(300, 6_000, 700_000),
  }),
);

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

async function settle(): Promise<void> {
  for (let i = 0; i < 20; i++) await new Promise(done => setImmediate(done));
}

/** Plays a schedule on sockets; returns the faults found in the ledger. */
async function play(schedule: Step[], keyed: boolean): Promise<string[]> {
  const fake = new UpstreamFake();
  await fake.start();
  // Earlier processes stay: one that was paused resumes after its successor.
  const owners: OwnerRig[] = [await startOwner(clock, fake)];
  const keys = ['n0', 'n1', 'n2'].map(nonce => owners[0].mint(nonce));
  const replies = new Map<string, Reply | undefined>();
  const send = async (s: Extract<Step, {do: 'send'}>) => {
    const id = `k${s.key}-${replies.size}`;
    replies.set(id, undefined);
    const rig = owners[s.owner % owners.length];
    const key = keyed ? keys[s.key] : undefined;
    const options = {key, print: `k${s.key}`, path: `${s.path}?k=${s.key}`};
    replies.set(id, await rig.send(id, options));
  };
  const steps: Record<Step['do'], (s: never) => unknown> = {
    send: s => void send(s),
    release: () => fake.held.shift()?.(),
    crash: () => fake.crash().then(() => fake.start()),
    restart: async ({skewMs}: {skewMs: number}) => {
      const boot = String(owners.length).padStart(16, '0');
      owners.push(await startOwner(clock, fake, boot, skewMs));
    },
    pass: ({ms}: {ms: number}) => clock.tick(ms),
  };
  for (const s of schedule) {
    await steps[s.do](s as never);
    await settle();
  }
  while ([...replies.values()].includes(undefined)) {
    fake.held.shift()?.();
    clock.tick(250);
    await settle();
  }
  for (const rig of owners) await rig.close();
  await fake.crash();
  return audit(fake, replies);
}

function audit(
  fake: UpstreamFake,
  replies: Map<string, Reply | undefined>,
): string[] {
  const faults: string[] = [];
  for (const query of ['k=0', 'k=1', 'k=2']) {
    const runs = fake.ledger.filter(entry => entry.path.endsWith(query));
    if (runs.length > 1) faults.push(`${query} ran ${runs.length} times`);
  }
  for (const [id, reply] of replies) {
    const verdict = reply?.headers[HEADERS.verdict];
    const runs = fake.runs(id).length;
    if (verdict === 'not-run' && runs > 0) faults.push(`${id} was run`);
  }
  return faults;
}

test('a key runs twice or a run is denied in a generated schedule', async t => {
  const schedules = fc.array(step, {minLength: 15, maxLength: 40});
  const real = fc.asyncProperty(schedules, async schedule => {
    const faults = await play(schedule, true);
    if (faults.length > 0) throw new Error(faults.join('; '));
  });
  await fc.assert(real, {seed: 23, numRuns: 40, endOnFailure: true});
  const naive = fc.asyncProperty(schedules, async schedule => {
    const faults = await play(schedule, false);
    return !faults.some(fault => fault.includes('times'));
  });
  const checked = await fc.check(naive, {
    seed: 23,
    numRuns: 5,
    endOnFailure: true,
  });
  t.true(checked.failed, 'without keys a request must be seen to run twice');
});
