import FakeTimers from '@sinonjs/fake-timers';
import test, {type ExecutionContext} from 'ava';
import {CALL_TIMEOUT_MS, WATCH_MARGIN_MS} from '../platform/store_client.js';
import {
  applyFullRead,
  createMirror,
  createRandom,
  type KeyValueStore,
  watchChanges,
} from '../src/internal.js';
import {createFakeStore, type FakeStore} from '../standins/kv_store.js';
import {type Daemon, startDaemons} from './support/followers.js';

/** Time after its acceptance, or after the end of an outage, by which a version
 * must be in force at all daemons, ms; the platform's `config_apply`. */
const IN_FORCE_MS = 2_000;

/** The same while each answer takes a second, ms: the call that has just begun
 * may miss the version, and the next one has to be answered too. */
const SLOW_IN_FORCE_MS = IN_FORCE_MS + 2 * 1_000;

/** Time after which a change counts as lost, ms. */
const LOST_MS = 20_000;

/** Time of a call that a sound store answers, ms. */
const ANSWER_MS = 4;

const ROUNDS = 12;

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** A store that answers after `delayMs`, or, while it `hangs`, takes calls that
 * it never answers, also later. */
interface TroubledStore {
  hangs: boolean;
  delayMs: number;
  /** Called at the start of each call of a daemon. */
  onCall?: (daemon: string) => void;
}

/** The store as the client of the platform shows it, with its timeouts. */
function createView(
  store: FakeStore,
  trouble: TroubledStore,
  daemon: string,
): KeyValueStore {
  const call = async <T>(
    timeoutMs: number,
    answer: () => Promise<T>,
  ): Promise<T> => {
    trouble.onCall?.(daemon);
    const startedAt = performance.now();
    const fail = async (): Promise<never> => {
      await wait(startedAt + timeoutMs - performance.now());
      throw new Error('no answer in time');
    };
    if (trouble.hangs) return fail();
    const {delayMs} = trouble;
    const reply = await answer();
    // A call that waited when the trouble began is lost too.
    if (trouble.hangs) return fail();
    const lateMs = performance.now() - startedAt + delayMs;
    if (lateMs > timeoutMs) return fail();
    await wait(delayMs);
    return reply;
  };
  return {
    readPage: (prefix, after) =>
      call(CALL_TIMEOUT_MS, () => store.readPage(prefix, after)),
    watch: (prefix, after, waitMs) =>
      call(waitMs + WATCH_MARGIN_MS, () => store.watch(prefix, after, waitMs)),
    close: () => Promise.resolve(),
  };
}

function startFleet(
  t: ExecutionContext,
  count: number,
  random = createRandom(63),
) {
  const clock = FakeTimers.install();
  t.teardown(() => clock.uninstall());
  const store = createFakeStore();
  store.put('k/a', 'before');
  const trouble: TroubledStore = {hangs: false, delayMs: ANSWER_MS};
  const names = Array.from({length: count}, (_, i) => `d${i}`);
  const daemons = startDaemons(t, names, store, {
    watchStore: name => createView(store, trouble, name),
    random,
  });
  return {clock, store, trouble, daemons};
}

/** Writes a value and returns the time until the last daemon has it, ms. */
async function measureSpread(
  {clock, store}: {clock: FakeTimers.Clock; store: FakeStore},
  daemons: readonly Daemon[],
  value: string,
): Promise<number> {
  store.put('k/a', value);
  const writtenAt = performance.now();
  while (daemons.some(({known}) => known.get('k/a') !== value)) {
    await clock.tickAsync(10);
    if (performance.now() - writtenAt > LOST_MS) throw new Error('change lost');
  }
  return performance.now() - writtenAt;
}

for (const hangMs of [1_500, 2_500, 6_000, 12_000]) {
  // A route was refused with 404 three seconds after its version: each daemon
  // waited for the whole timeout of a call that an outage had left unanswered.
  test.serial(`a change right after the store hung ${hangMs} ms`, async t => {
    const fleet = startFleet(t, 10);
    const {clock, trouble, daemons} = fleet;
    const spreads: number[] = [];
    for (let round = 0; round < ROUNDS; round++) {
      await clock.tickAsync(12_000 + round * 170);
      trouble.hangs = true;
      await clock.tickAsync(hangMs);
      trouble.hangs = false;
      spreads.push(await measureSpread(fleet, daemons, `round ${round}`));
    }
    t.true(Math.max(...spreads) <= IN_FORCE_MS, spreads.join(', '));
  });
}

for (const mode of ['hangs', 'refuses calls'] as const) {
  // Polls of silent daemons, and pauses behind them, kept daemons from the next
  // call to the store: news of its return came that much later.
  test.serial(
    `calls are at most 2 s apart while the store ${mode}`,
    async t => {
      for (const count of [1, 2, 6]) {
        const fleet = startFleet(t, count, () => 0.999);
        const {clock, store, trouble, daemons} = fleet;
        await clock.tickAsync(12_000);
        for (const [i, daemon] of daemons.entries()) daemon.silent = i % 2 > 0;
        const calledAt = new Map<string, number>();
        let longestMs = 0;
        trouble.onCall = name => {
          const now = performance.now();
          longestMs = Math.max(longestMs, now - (calledAt.get(name) ?? now));
          calledAt.set(name, now);
        };
        if (mode === 'hangs') trouble.hangs = true;
        else store.down = true;
        await clock.tickAsync(60_000);
        t.is(calledAt.size, count);
        t.true(longestMs <= IN_FORCE_MS, `${count} daemons: ${longestMs} ms`);
        for (const {follow} of daemons) follow.stop();
        clock.uninstall();
      }
    },
  );
}

for (const [name, count, random] of [
  ['random pauses', 12, createRandom(63)],
  ['longest pauses', 4, () => 0.999],
] as const) {
  // A daemon that asks silent daemons in turn, each until the poll times out, comes
  // back to the store late.
  test.serial(`a change after an outage, half silent: ${name}`, async t => {
    const fleet = startFleet(t, count, random);
    const {clock, trouble, daemons} = fleet;
    const spreads: number[] = [];
    for (let round = 0; round < 3 * ROUNDS; round++) {
      await clock.tickAsync(12_000 + round * 170);
      const silent = daemons.filter((_, i) => i % 2 === round % 2);
      for (const daemon of silent) daemon.silent = true;
      trouble.hangs = true;
      await clock.tickAsync(3_000 + (round % 7) * 1_000);
      trouble.hangs = false;
      const heard = daemons.filter(daemon => !daemon.silent);
      spreads.push(await measureSpread(fleet, heard, `round ${round}`));
      for (const daemon of silent) daemon.silent = false;
    }
    t.true(Math.max(...spreads) <= IN_FORCE_MS, spreads.join(', '));
  });
}

// Calls that take longer than the wait for the next source still bring the copy
// up to date: a store that answers after a second is slow, not away.
test.serial('a store that answers after a second is followed', async t => {
  const fleet = startFleet(t, 10);
  const {clock, trouble, daemons} = fleet;
  await clock.tickAsync(12_000);
  trouble.delayMs = 1_000;
  for (let round = 0; round < ROUNDS; round++) {
    await clock.tickAsync(3_000 + round * 170);
    const spreadMs = await measureSpread(fleet, daemons, `round ${round}`);
    t.true(spreadMs <= SLOW_IN_FORCE_MS, `${spreadMs} ms`);
  }
});

// A second read of all keys would only make the first one slower on a full link.
test.serial('an answer that arrives in parts is waited for', async t => {
  const clock = FakeTimers.install();
  t.teardown(() => clock.uninstall());
  const store = createFakeStore();
  store.put('k/a', '1');
  let reads = 0;
  const readPage: KeyValueStore['readPage'] = async (prefix, after, onPart) => {
    reads++;
    for (let i = 0; i < 20; i++) {
      await wait(200);
      onPart?.();
    }
    return store.readPage(prefix, after);
  };
  const [{known}] = startDaemons(t, ['d0'], store, {
    watchStore: () => ({...store, readPage}),
  });
  await clock.tickAsync(4_010);
  t.is(known.get('k/a'), '1');
  t.is(reads, 1);
});

// Late events of a watch must not restore what a newer state has deleted.
test.serial('a late answer to a watch undoes no newer state', async t => {
  const mirror = createMirror('k/');
  const item = (key: string, revision: number) => {
    return {key, value: Buffer.from('1'), revision, created: revision};
  };
  applyFullRead(mirror, [item('k/a', 2)], 2);
  const store = createFakeStore();
  store.watch = () => {
    applyFullRead(mirror, [item('k/a', 2)], 9);
    return Promise.resolve({events: [item('k/b', 3)], revision: 3});
  };
  const now = () => performance.now();
  await watchChanges({store, mirror, now}, 100);
  t.deepEqual([...mirror.items.keys()], ['k/a']);
  t.is(mirror.revision, 9);
});
