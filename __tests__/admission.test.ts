import {createClock} from '@sinonjs/fake-timers';
import test from 'ava';
import fc from 'fast-check';
import {
  resetLimit,
  createAdmission,
  HOLD_ANSWERS,
  readLoad,
  submit,
  tickAdmission,
  type SubmitResult,
  type Priority,
  type RequestEvent,
} from '../src/internal.js';

const CONFIG = {
  slots: 8,
  connections: 110,
  downloadShare: 0.5,
  expectedMs: 50,
};

function createHarness(config = CONFIG) {
  const clock = createClock();
  const admission = createAdmission(config, () => clock.now);
  return {clock, admission, started: [] as string[]};
}

type Harness = ReturnType<typeof createHarness>;

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

function send(harness: Harness, job: Job = {}): Promise<SubmitResult<void>> {
  const {clock, admission, started} = harness;
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

async function warmUp(harness: Harness): Promise<void> {
  for (let i = 0; i < 100; i++) void send(harness);
  await harness.clock.runAllAsync();
}

test('a reduced limit does not rise again at once', async t => {
  const harness = createHarness();
  await warmUp(harness);
  void send(harness, {event: 'shed'});
  await harness.clock.runAllAsync();
  const reducedLimit = readLoad(harness.admission).limit;
  t.true(reducedLimit < CONFIG.slots);
  for (let i = 0; i < HOLD_ANSWERS; i++) void send(harness);
  await harness.clock.runAllAsync();
  t.is(readLoad(harness.admission).limit, reducedLimit);
  await warmUp(harness);
  t.is(readLoad(harness.admission).limit, CONFIG.slots);
});

test('queued work that cannot be answered in time does not use a slot', async t => {
  const harness = createHarness({...CONFIG, slots: 1});
  await warmUp(harness);
  void send(harness, {name: 'slow', ms: 80});
  // Queued, as the mean time is 50 ms, but only 40 ms are left at its turn.
  const late = send(harness, {name: 'late', deadlineMs: 120});
  await harness.clock.runAllAsync();
  t.deepEqual(await late, {started: false, outcome: 'deadlineTooShort'});
  t.false(harness.started.includes('late'));
});

test('a cold upstream stays within its limit, which rises in single steps', async t => {
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
  const staysWithinLimits = async (jobs: Array<Job & {gapMs: number}>) => {
    const harness = createHarness();
    let prev = 1;
    let answers = 0;
    const faults: string[] = [];
    const onStart = () => {
      const {inFlight, limit} = readLoad(harness.admission);
      if (inFlight > limit) faults.push('a request started above the limit');
    };
    const onEnd = (event: RequestEvent) => {
      const {limit} = readLoad(harness.admission);
      if (event === 'answered') answers++;
      if (limit > prev + 1) faults.push('the limit jumped');
      if (limit > prev && answers < prev) faults.push('the limit rose early');
      if (limit !== prev) answers = 0;
      prev = limit;
    };
    for (const {gapMs, ...rest} of jobs) {
      void send(harness, {...rest, deadlineMs: Infinity, onStart, onEnd});
      await harness.clock.tickAsync(gapMs);
    }
    await harness.clock.runAllAsync();
    return faults.length === 0;
  };
  const jobs = fc.array(job, {minLength: 60, maxLength: 100});
  await fc.assert(fc.asyncProperty(jobs, staysWithinLimits), {
    seed: 11,
    numRuns: 15,
  });
  t.pass();
});

test('a burst does not exceed the hard limits of a warm upstream', async t => {
  const harness = createHarness({...CONFIG, connections: 5});
  await warmUp(harness);
  t.like(readLoad(harness.admission), {limit: 5, cold: false});
  for (let i = 0; i < 30; i++) void send(harness);
  t.like(readLoad(harness.admission), {inFlight: 5, queued: 25});
});

for (const cause of [{event: 'shed'}, {ms: 400}, {event: 'failed'}] as const) {
  const title = `an upstream that turns cold is detected: ${JSON.stringify(cause)}`;
  test(title, async t => {
    const harness = createHarness();
    await warmUp(harness);
    t.is(readLoad(harness.admission).limit, 8);
    for (let i = 0; i < 3; i++) void send(harness, cause);
    // Answers to requests sent before the reset must not raise the limit.
    await harness.clock.tickAsync('ms' in cause ? 380 : 30);
    for (let i = 0; i < 5; i++) void send(harness);
    await harness.clock.runAllAsync();
    t.like(readLoad(harness.admission), {limit: 1, cold: true});
  });
}

test('an upstream with little load warms up, but not to the full limit', async t => {
  const harness = createHarness();
  for (let i = 0; i < 20; i++) {
    void send(harness);
    await harness.clock.runAllAsync();
  }
  const load = readLoad(harness.admission);
  t.false(load.cold);
  // One request at a time does not show capacity for the full limit.
  t.true(load.limit < 4);
});

test('an upstream that only fails does not get more load', async t => {
  const harness = createHarness();
  for (let i = 0; i < 100; i++) void send(harness, {event: 'errored'});
  await harness.clock.runAllAsync();
  t.is(readLoad(harness.admission).limit, 1);
});

test('an expectedMs that is too low does not keep the limit at its minimum', async t => {
  const harness = createHarness({...CONFIG, expectedMs: 5});
  for (let i = 0; i < 400; i++) void send(harness, {ms: 100, deadlineMs: 1e6});
  await harness.clock.runAllAsync();
  t.is(readLoad(harness.admission).limit, 8);
});

test('downloads use at most their share of the slots, and at least one', async t => {
  const harness = createHarness();
  await warmUp(harness);
  for (let i = 0; i < 10; i++) {
    void send(harness, {name: 'd', priority: 'download', ms: 1_000});
  }
  for (let i = 0; i < 10; i++) void send(harness, {name: 'r', ms: 1_000});
  const running = harness.started.slice(100);
  t.deepEqual([...running].sort().join(''), 'ddddrrrr');
  const zeroShare = createHarness({...CONFIG, downloadShare: 0});
  void send(zeroShare, {name: 'd', priority: 'download'});
  t.deepEqual(zeroShare.started, ['d'], 'at least one slot');
});

test('a download does not starve under a steady excess of urgent work', async t => {
  const harness = createHarness({...CONFIG, slots: 1});
  let served = false;
  void send(harness, {ms: 50});
  void send(harness, {priority: 'download'}).then(() => (served = true));
  for (let at = 0; at < 4_000 && !served; at += 25) {
    void send(harness, {priority: 'urgent', deadlineMs: 1e6});
    await harness.clock.tickAsync(25);
  }
  t.true(served);
  t.true(readLoad(harness.admission).queued > 0, 'urgent work was in excess');
});

test('urgent work starts before lower priority classes', async t => {
  const harness = createHarness();
  const order = ['read', 'booking', 'urgent'] as const;
  void send(harness, {name: 'first'});
  for (const name of order) void send(harness, {name, priority: name});
  await harness.clock.runAllAsync();
  t.deepEqual(harness.started, ['first', 'urgent', 'booking', 'read']);
});

test('a request that cannot be served in time is refused on arrival', async t => {
  const harness = createHarness();
  for (let i = 0; i < 4; i++) void send(harness);
  const refused = await send(harness, {name: 'late', deadlineMs: 149});
  t.deepEqual(refused, {started: false, outcome: 'cold'});
  await harness.clock.runAllAsync();
  t.false(harness.started.includes('late'));
  await warmUp(harness);
  for (let i = 0; i < 40; i++) void send(harness);
  const full = await send(harness, {deadlineMs: 100});
  t.deepEqual(full, {started: false, outcome: 'deadlineTooShort'});
});

test('queued work does not run after its cancellation or deadline', async t => {
  const harness = createHarness();
  const abort = new AbortController();
  void send(harness, {ms: 300});
  const cancelled = send(harness, {name: 'cancelled', signal: abort.signal});
  const swept = send(harness, {name: 'swept', deadlineMs: 200});
  const past = send(harness, {name: 'past', deadlineMs: 260});
  const download = {name: 'download', priority: 'download'} as const;
  const waiting = send(harness, {...download, signal: abort.signal});
  t.is(readLoad(harness.admission).queued, 4);
  abort.abort();
  t.is(readLoad(harness.admission).queued, 2);
  t.deepEqual(await cancelled, {started: false, outcome: 'cancelled'});
  t.deepEqual(await waiting, {started: false, outcome: 'cancelled'});
  await harness.clock.tickAsync(250);
  tickAdmission(harness.admission, harness.clock.now);
  const late = {started: false, outcome: 'deadlineBeforeSend'};
  t.deepEqual(await swept, late);
  await harness.clock.runAllAsync();
  t.deepEqual(await past, late);
  t.deepEqual(harness.started, ['']);
});

test('a cancelled running request keeps its slot until it ends', async t => {
  const harness = createHarness();
  const abort = new AbortController();
  void send(harness, {signal: abort.signal});
  void send(harness, {name: 'second'});
  abort.abort();
  await harness.clock.tickAsync(49);
  t.deepEqual(harness.started, ['']);
});

test('an upstream that stops answering is reported as stalled', async t => {
  const harness = createHarness();
  const tick = async (ms: number) => {
    await harness.clock.tickAsync(ms);
    tickAdmission(harness.admission, harness.clock.now);
    return readLoad(harness.admission).stalled;
  };
  // Deadlines shorter than STALL_MS end the requests, without progress.
  for (let i = 0; i < 4; i++) {
    void send(harness, {ms: 3_000, event: 'abandoned'});
    t.is(await tick(2_000), i === 3);
    await tick(5_000);
  }
  void send(harness, {ms: 500});
  t.true(await tick(499));
  t.false(await tick(9_000), 'an answer clears the state');
  void send(harness, {ms: 20_000});
  t.false(await tick(9_999));
  t.true(await tick(1));
});

test('a stalled upstream without requests gets another trial', async t => {
  const harness = createHarness();
  void send(harness, {ms: 11_000, event: 'abandoned'});
  await harness.clock.tickAsync(10_500);
  tickAdmission(harness.admission, harness.clock.now);
  t.true(readLoad(harness.admission).stalled);
  await harness.clock.tickAsync(11_000);
  tickAdmission(harness.admission, harness.clock.now);
  t.like(readLoad(harness.admission), {stalled: false, limit: 1});
});

test('a cold start resets the limit and does not stop running work', async t => {
  const harness = createHarness();
  await warmUp(harness);
  const all = Array.from({length: 8}, () => send(harness));
  resetLimit(harness.admission);
  void send(harness, {name: 'next'});
  t.like(readLoad(harness.admission), {limit: 1, inFlight: 8, queued: 1});
  await harness.clock.runAllAsync();
  const results = await Promise.all(all);
  t.true(results.every(result => result.started));
});
