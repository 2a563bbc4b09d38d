import {createClock} from '@sinonjs/fake-timers';
import test from 'ava';
import fc from 'fast-check';
import {
  coolDown,
  createAdmission,
  HOLD_ANSWERS,
  readLoad,
  submit,
  tickAdmission,
  type Admitted,
  type Priority,
  type RequestEvent,
} from '../src/internal.js';

const CONFIG = {
  slots: 8,
  connections: 110,
  downloadShare: 0.5,
  expectedMs: 50,
};

function createRig(config = CONFIG) {
  const clock = createClock();
  const admission = createAdmission(config, () => clock.now);
  return {clock, admission, started: [] as string[]};
}

type Rig = ReturnType<typeof createRig>;

/** Simulated request; `event` is what the upstream reports after `ms`. */
interface Job {
  name?: string;
  priority?: Priority;
  deadlineMs?: number;
  ms?: number;
  event?: RequestEvent;
  signal?: AbortSignal;
  onStart?: () => void;
  onEnd?: (event: RequestEvent) => void;
}

function send(rig: Rig, job: Job = {}): Promise<Admitted<void>> {
  const {clock, admission, started} = rig;
  const {name = '', ms = 50, event = 'answered', deadlineMs = 60_000} = job;
  return submit(admission, {
    priority: job.priority ?? 'read',
    deadlineAt: clock.now + deadlineMs,
    signal: job.signal,
    run: async report => {
      started.push(name);
      job.onStart?.();
      await new Promise<unknown>(resolve => clock.setTimeout(resolve, ms));
      report(event);
      job.onEnd?.(event);
    },
  });
}

async function warm(rig: Rig): Promise<void> {
  for (let i = 0; i < 100; i++) void send(rig);
  await rig.clock.runAllAsync();
}

test('a limit that was reduced exceeds the same capacity at once', async t => {
  const rig = createRig();
  await warm(rig);
  void send(rig, {event: 'shed'});
  await rig.clock.runAllAsync();
  const cut = readLoad(rig.admission).limit;
  t.true(cut < CONFIG.slots);
  for (let i = 0; i < HOLD_ANSWERS; i++) void send(rig);
  await rig.clock.runAllAsync();
  t.is(readLoad(rig.admission).limit, cut);
  await warm(rig);
  t.is(readLoad(rig.admission).limit, CONFIG.slots);
});

test('waiting work that cannot be answered in time uses a slot', async t => {
  const rig = createRig({...CONFIG, slots: 1});
  await warm(rig);
  void send(rig, {name: 'slow', ms: 80});
  // Its mean time fits; the slow one ahead of it leaves 40 ms of 50.
  const late = send(rig, {name: 'late', deadlineMs: 120});
  await rig.clock.runAllAsync();
  t.deepEqual(await late, {started: false, outcome: 'deadlineTooShort'});
  t.false(rig.started.includes('late'));
});

test('a cold upstream gets more than its limit, or the limit jumps', async t => {
  const job = fc.record({
    ms: fc.constantFrom(20, 50, 60, 400),
    event: fc.constantFrom<RequestEvent>(
      'answered',
      'answered',
      'answered',
      'shed',
    ),
    gapMs: fc.nat(30),
  });
  const play = async (jobs: Array<Job & {gapMs: number}>) => {
    const rig = createRig();
    let last = 1;
    let answers = 0;
    const faults: string[] = [];
    const onStart = () => {
      const {inFlight, limit} = readLoad(rig.admission);
      if (inFlight > limit) faults.push('a start above the limit');
    };
    const onEnd = (event: RequestEvent) => {
      const {limit} = readLoad(rig.admission);
      if (event === 'answered') answers++;
      if (limit > last + 1) faults.push('the limit jumped');
      if (limit > last && answers < last) faults.push('the limit rose early');
      if (limit !== last) answers = 0;
      last = limit;
    };
    for (const {gapMs, ...rest} of jobs) {
      void send(rig, {...rest, deadlineMs: Infinity, onStart, onEnd});
      await rig.clock.tickAsync(gapMs);
    }
    await rig.clock.runAllAsync();
    return faults.length === 0;
  };
  const jobs = fc.array(job, {minLength: 60, maxLength: 100});
  await fc.assert(fc.asyncProperty(jobs, play), {seed: 11, numRuns: 15});
  t.pass();
});

test('a burst exceeds the hard limits of a warm upstream', async t => {
  const rig = createRig({...CONFIG, connections: 5});
  await warm(rig);
  t.like(readLoad(rig.admission), {limit: 5, cold: false});
  for (let i = 0; i < 30; i++) void send(rig);
  t.like(readLoad(rig.admission), {inFlight: 5, queued: 25});
});

for (const turn of [{event: 'shed'}, {ms: 400}, {event: 'failed'}] as const) {
  const title = `an upstream turns cold unnoticed: ${JSON.stringify(turn)}`;
  test(title, async t => {
    const rig = createRig();
    await warm(rig);
    t.is(readLoad(rig.admission).limit, 8);
    for (let i = 0; i < 3; i++) void send(rig, turn);
    // Good answers from before the reset must not raise the limit.
    await rig.clock.tickAsync('ms' in turn ? 380 : 30);
    for (let i = 0; i < 5; i++) void send(rig);
    await rig.clock.runAllAsync();
    t.like(readLoad(rig.admission), {limit: 1, cold: true});
  });
}

test('an upstream with little load stays cold forever', async t => {
  const rig = createRig();
  for (let i = 0; i < 20; i++) {
    void send(rig);
    await rig.clock.runAllAsync();
  }
  const load = readLoad(rig.admission);
  t.false(load.cold);
  // One request at a time does not show capacity for the full limit.
  t.true(load.limit < 4);
});

test('an upstream that only fails gets more load', async t => {
  const rig = createRig();
  for (let i = 0; i < 100; i++) void send(rig, {event: 'errored'});
  await rig.clock.runAllAsync();
  t.is(readLoad(rig.admission).limit, 1);
});

test('a wrong expectedMs keeps the limit at its minimum forever', async t => {
  const rig = createRig({...CONFIG, expectedMs: 5});
  for (let i = 0; i < 400; i++) void send(rig, {ms: 100, deadlineMs: 1e6});
  await rig.clock.runAllAsync();
  t.is(readLoad(rig.admission).limit, 8);
});

test('downloads use more than their share of the slots', async t => {
  const rig = createRig();
  await warm(rig);
  for (let i = 0; i < 10; i++) {
    void send(rig, {name: 'd', priority: 'download', ms: 1_000});
  }
  for (let i = 0; i < 10; i++) void send(rig, {name: 'r', ms: 1_000});
  const running = rig.started.slice(100);
  t.deepEqual([...running].sort().join(''), 'ddddrrrr');
  const none = createRig({...CONFIG, downloadShare: 0});
  void send(none, {name: 'd', priority: 'download'});
  t.deepEqual(none.started, ['d'], 'at least one slot');
});

test('a download starves under a steady excess of urgent work', async t => {
  const rig = createRig({...CONFIG, slots: 1});
  let served = false;
  void send(rig, {ms: 50});
  void send(rig, {priority: 'download'}).then(() => (served = true));
  for (let at = 0; at < 4_000 && !served; at += 25) {
    void send(rig, {priority: 'urgent', deadlineMs: 1e6});
    await rig.clock.tickAsync(25);
  }
  t.true(served);
  t.true(readLoad(rig.admission).queued > 0, 'urgent work was in excess');
});

test('urgent work waits behind lower classes', async t => {
  const rig = createRig();
  const order = ['read', 'booking', 'urgent'] as const;
  void send(rig, {name: 'first'});
  for (const name of order) void send(rig, {name, priority: name});
  await rig.clock.runAllAsync();
  t.deepEqual(rig.started, ['first', 'urgent', 'booking', 'read']);
});

test('a request that cannot be served in time is queued anyway', async t => {
  const rig = createRig();
  for (let i = 0; i < 4; i++) void send(rig);
  const refused = await send(rig, {name: 'late', deadlineMs: 149});
  t.deepEqual(refused, {started: false, outcome: 'cold'});
  await rig.clock.runAllAsync();
  t.false(rig.started.includes('late'));
  await warm(rig);
  for (let i = 0; i < 40; i++) void send(rig);
  const full = await send(rig, {deadlineMs: 100});
  t.deepEqual(full, {started: false, outcome: 'deadlineTooShort'});
});

test('work runs after its cancellation or deadline in the queue', async t => {
  const rig = createRig();
  const abort = new AbortController();
  void send(rig, {ms: 300});
  const cancelled = send(rig, {name: 'cancelled', signal: abort.signal});
  const swept = send(rig, {name: 'swept', deadlineMs: 200});
  const past = send(rig, {name: 'past', deadlineMs: 260});
  const download = {name: 'download', priority: 'download'} as const;
  const waiting = send(rig, {...download, signal: abort.signal});
  t.is(readLoad(rig.admission).queued, 4);
  abort.abort();
  t.is(readLoad(rig.admission).queued, 2);
  t.deepEqual(await cancelled, {started: false, outcome: 'cancelled'});
  t.deepEqual(await waiting, {started: false, outcome: 'cancelled'});
  await rig.clock.tickAsync(250);
  tickAdmission(rig.admission, rig.clock.now);
  const late = {started: false, outcome: 'deadlineBeforeSend'};
  t.deepEqual(await swept, late);
  await rig.clock.runAllAsync();
  t.deepEqual(await past, late);
  t.deepEqual(rig.started, ['']);
});

test('a cancelled running request frees its slot too early', async t => {
  const rig = createRig();
  const abort = new AbortController();
  void send(rig, {signal: abort.signal});
  void send(rig, {name: 'second'});
  abort.abort();
  await rig.clock.tickAsync(49);
  t.deepEqual(rig.started, ['']);
});

test('an upstream that stops answering is not detected', async t => {
  const rig = createRig();
  const tick = async (ms: number) => {
    await rig.clock.tickAsync(ms);
    tickAdmission(rig.admission, rig.clock.now);
    return readLoad(rig.admission).stalled;
  };
  // Deadlines shorter than STALL_MS end the requests, without progress.
  for (let i = 0; i < 4; i++) {
    void send(rig, {ms: 3_000, event: 'abandoned'});
    t.is(await tick(2_000), i === 3);
    await tick(5_000);
  }
  void send(rig, {ms: 500});
  t.true(await tick(499));
  t.false(await tick(9_000), 'an answer clears the state');
  void send(rig, {ms: 20_000});
  t.false(await tick(9_999));
  t.true(await tick(1));
});

test('a stalled upstream without requests never gets another trial', async t => {
  const rig = createRig();
  void send(rig, {ms: 11_000, event: 'abandoned'});
  await rig.clock.tickAsync(10_500);
  tickAdmission(rig.admission, rig.clock.now);
  t.true(readLoad(rig.admission).stalled);
  await rig.clock.tickAsync(11_000);
  tickAdmission(rig.admission, rig.clock.now);
  t.like(readLoad(rig.admission), {stalled: false, limit: 1});
});

test('a cold start cuts running work or leaves the old limit', async t => {
  const rig = createRig();
  await warm(rig);
  const all = Array.from({length: 8}, () => send(rig));
  coolDown(rig.admission);
  void send(rig, {name: 'next'});
  t.like(readLoad(rig.admission), {limit: 1, inFlight: 8, queued: 1});
  await rig.clock.runAllAsync();
  const results = await Promise.all(all);
  t.true(results.every(result => result.started));
});
