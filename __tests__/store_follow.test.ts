import FakeTimers from '@sinonjs/fake-timers';
import test, {type ExecutionContext} from 'ava';
import {
  applyMirrorState,
  applyFullRead,
  createMirror,
  createRandom,
  FRESH_MS,
  MAX_COPY_AGE_MS,
  POLL_MS,
  rankReaders,
  rankSources,
  readMirror,
  STORE_RETRY_MS,
  WATCH_MS,
} from '../src/internal.js';
import {createFakeStore, type FakeStore} from '../standins/kv_store.js';
import {type Daemon, startDaemons} from './support/followers.js';

function createHarness(t: ExecutionContext, count: number, pageSize?: number) {
  const clock = FakeTimers.install();
  t.teardown(() => clock.uninstall());
  const store = createFakeStore(pageSize);
  const names = Array.from({length: count}, (_, i) => `d${i}`);
  const ranked = rankReaders('dc', names, 'nobody');
  const start = () => startDaemons(t, names, store);
  return {clock, store, ranked, start};
}

const SLACK_MS = 100;

test.serial('a daemon reads all pages and follows changes', async t => {
  const {clock, store, start} = createHarness(t, 1, 2);
  for (const name of ['a', 'b', 'c', 'd', 'e']) store.put(`k/${name}`, name);
  store.put('other/x', 'x');
  const [{known}] = start();
  await clock.tickAsync(10);
  t.is(known.size, 5);
  store.put('k/f', 'f');
  store.remove('k/a');
  await clock.tickAsync(1_000);
  t.deepEqual([...known.keys()].sort(), ['k/b', 'k/c', 'k/d', 'k/e', 'k/f']);
});

test.serial('a key deleted before a compaction is removed', async t => {
  const {clock, store, start} = createHarness(t, 1);
  store.put('k/a', '1');
  store.put('k/b', '1');
  const [{known}] = start();
  await clock.tickAsync(10);
  store.down = true;
  store.remove('k/a');
  store.compact();
  await clock.tickAsync(1_000);
  store.down = false;
  await clock.tickAsync(WATCH_MS + 2 * STORE_RETRY_MS.longest);
  t.deepEqual([...known.keys()], ['k/b']);
});

test.serial('an outage and its end are each reported once', async t => {
  const {clock, store, start} = createHarness(t, 1);
  store.down = true;
  const [{events}] = start();
  await clock.tickAsync(5_000);
  t.true(store.calls <= 5_000 / STORE_RETRY_MS.shortest);
  store.down = false;
  store.put('k/a', '1');
  await clock.tickAsync(STORE_RETRY_MS.longest);
  t.deepEqual(events, ['store is down', 'recovered', 'regained']);
});

// Each call is priced: when every daemon watched the store itself, the calls of
// 82 daemons cost more than a quarter of all that the mesh serves.
test.serial('store calls hardly grow with the number of daemons', async t => {
  const {clock, store, start} = createHarness(t, 30);
  const daemons = start();
  await clock.tickAsync(1_000);
  const before = store.calls;
  for (let i = 0; i < 10; i++) {
    store.put('k/a', String(i));
    await clock.tickAsync(1_000);
    t.true(daemons.every(({known}) => known.get('k/a') === String(i)));
  }
  t.true(store.calls - before <= 40, `${store.calls - before} calls`);
});

/** A heartbeat of a listed upstream. */
function formatBeat(sequence: number, state = 'ready'): string {
  return JSON.stringify({status: {state, sequence, cold_left: '0ms'}});
}

// In a fleet of hundreds there is always a heartbeat. Each one ended the watch
// of each reader, which then called the store five times a second.
test.serial('heartbeats do not raise the rate of store calls', async t => {
  const {clock, store, start} = createHarness(t, 1);
  const [{known}] = start();
  await clock.tickAsync(1_000);
  const before = store.calls;
  for (let i = 0; i < 200; i++) {
    store.put(`k/servers/${i % 40}`, formatBeat(i));
    await clock.tickAsync(50);
  }
  t.true(store.calls - before <= 25, `${store.calls - before} calls in 10 s`);
  t.is(known.size, 40);
});

// Each heartbeat of each upstream reached each daemon, which parsed it and
// rebuilt its list: at 196 daemons a third of their processor time.
test.serial('heartbeats without news stay with the readers', async t => {
  const {clock, store, ranked, start} = createHarness(t, 6);
  const daemons = start();
  for (let i = 0; i < 10; i++) store.put(`k/servers/${i}`, formatBeat(0));
  await clock.tickAsync(2_000);
  const changes = daemons.map(({changeCount}) => changeCount());
  for (let i = 1; i <= 40; i++) {
    store.put(`k/servers/${i % 10}`, formatBeat(i));
    await clock.tickAsync(100);
  }
  t.deepEqual(
    daemons.map(({changeCount}) => changeCount()),
    changes,
  );
  for (const {name, follow, mirror} of daemons) {
    t.true(follow.readAge() <= FRESH_MS, name);
    if (name === ranked[0]) continue;
    // Otherwise a later reader would find its history removed.
    t.true(mirror.revision !== undefined && mirror.revision > 40, name);
  }
  store.put('k/servers/3', formatBeat(99, 'draining'));
  await clock.tickAsync(FRESH_MS);
  for (const {known, name} of daemons) {
    t.true(known.get('k/servers/3')?.includes('draining'), name);
  }
});

for (const fault of ['silent', 'cut'] as const) {
  // A configuration must be in force 2 s after it was accepted, also when the
  // reader has just lost its power or its connection to the store.
  test.serial(`a change arrives in time: reader ${fault}`, async t => {
    const {clock, store, ranked, start} = createHarness(t, 6);
    const daemons = start();
    for (let round = 0; round < 8; round++) {
      await clock.tickAsync(12_000 + round * 170);
      const reader = daemons.find(({name}) => name === ranked[0]) as Daemon;
      reader[fault] = true;
      await clock.tickAsync(5);
      store.put('k/a', `round ${round}`);
      await clock.tickAsync(FRESH_MS + SLACK_MS);
      for (const daemon of daemons) {
        if (daemon === reader) continue;
        t.is(daemon.known.get('k/a'), `round ${round}`, daemon.name);
      }
      reader[fault] = false;
    }
    t.true(POLL_MS < FRESH_MS);
  });
}

// Daemons that were too busy to read the store passed for witnesses of an outage,
// and others served by copies of any age.
test.serial('an overloaded daemon claims no outage', async t => {
  const {clock, store, start} = createHarness(t, 1);
  const [daemon] = start();
  const {follow} = daemon;
  await clock.tickAsync(1_000);
  t.false(follow.isStoreLost());
  daemon.cut = true;
  daemon.overloaded = true;
  await clock.tickAsync(5_000);
  t.false(follow.isStoreLost());
  daemon.overloaded = false;
  await clock.tickAsync(5_000);
  t.true(follow.isStoreLost());
  daemon.cut = false;
  await clock.tickAsync(5_000);
  t.false(follow.isStoreLost());
  // An error is an answer, whatever the load.
  daemon.overloaded = true;
  store.down = true;
  await clock.tickAsync(2_000);
  t.true(follow.isStoreLost());
});

// A restarted daemon refused 320 requests because it had no configuration: its
// first read of the store hung for 2.5 s.
test.serial('a daemon whose first read hangs asks the others', async t => {
  const {clock, store, start} = createHarness(t, 3);
  store.put('k/a', '1');
  const others = start();
  await clock.tickAsync(1_000);
  const [late] = startDaemons(t, ['late'], store, {others, cut: true});
  await clock.tickAsync(FRESH_MS - WATCH_MS);
  t.is(late.known.get('k/a'), '1');
});

test('a full read that is older than the mirror changes nothing', t => {
  const mirror = createMirror('k/');
  const item = {key: 'k/a', value: Buffer.from('new'), revision: 9};
  applyFullRead(mirror, [item], 9);
  t.deepEqual(applyFullRead(mirror, [], 7), []);
  t.is(mirror.items.size, 1);
  t.is(mirror.revision, 9);
});

test.serial('a daemon cut off from the store follows the others', async t => {
  const {clock, store, ranked, start} = createHarness(t, 3);
  const daemons = start();
  await clock.tickAsync(1_000);
  const reader = daemons.find(({name}) => name === ranked[0]) as Daemon;
  reader.cut = true;
  await clock.tickAsync(5_000);
  store.put('k/a', '1');
  await clock.tickAsync(2 * WATCH_MS);
  t.is(reader.known.get('k/a'), '1');
  t.true(reader.follow.readAge() <= FRESH_MS + POLL_MS);
});

// A reader with a busy event loop handled answers of the store seconds late and
// reported its copy to the other daemons as fresh.
test.serial('an answer is as old as the time that it waited', async t => {
  const {clock, start} = createHarness(t, 1);
  const [reader] = start();
  reader.wayMs = 2_000;
  await clock.tickAsync(WATCH_MS + 2 * reader.wayMs);
  for (let i = 0; i < 500; i++) {
    await clock.tickAsync(10);
    t.true(reader.follow.readAge() >= 2_000);
  }
});

test.serial('a reader whose answers wait misleads no daemon', async t => {
  const {clock, store, ranked, start} = createHarness(t, 3);
  const daemons = start();
  const reader = daemons.find(({name}) => name === ranked[0]) as Daemon;
  reader.wayMs = 2_000;
  await clock.tickAsync(WATCH_MS + 2 * reader.wayMs);
  for (const {name, follow} of daemons) {
    if (name !== reader.name) t.true(follow.readAge() <= FRESH_MS, name);
  }
  let worstMs = 0;
  await writeNumbers({clock, store}, createRandom(63), 10_000, writtenAt => {
    const now = performance.now();
    for (const {name, known, follow} of daemons) {
      const missed = Number(known.get('k/a') ?? -1) + 1;
      const trueMs = now - (writtenAt[missed] ?? now);
      worstMs = Math.max(worstMs, trueMs - follow.readAge());
      const isServing = follow.readAge() <= MAX_COPY_AGE_MS;
      if (name !== reader.name) {
        t.true(isServing, `${name}: ${follow.readAge()}`);
      }
    }
  });
  t.true(worstMs <= 0, `${worstMs} ms older`);
});

// The age counted until the answer had arrived, and the time to decode and apply it
// made the copy younger: at each daemon on the way, more for large versions.
test.serial('a copy ages while its changes are applied', async t => {
  const {clock, store, start} = createHarness(t, 2);
  store.put('k/a', '0');
  const daemons = start();
  await clock.tickAsync(1_000);
  for (const daemon of daemons) {
    daemon.applyMs = 50;
    daemon.leastAgeMs = Infinity;
  }
  for (let i = 1; i <= 5; i++) {
    store.put('k/a', String(i));
    await clock.tickAsync(1_000);
  }
  for (const {name, known, leastAgeMs} of daemons) {
    t.is(known.get('k/a'), '5', name);
    t.true(leastAgeMs >= 50, `${name}: ${leastAgeMs} ms`);
  }
});

/** Writes numbers to one key at random times for `ms`; calls `check` each 10 ms
 * with the times of the writes, by number. */
async function writeNumbers(
  {clock, store}: {clock: FakeTimers.Clock; store: FakeStore},
  random: () => number,
  ms: number,
  check: (writtenAt: readonly number[]) => void,
): Promise<void> {
  const writtenAt: number[] = [];
  for (const endAt = performance.now() + ms; performance.now() < endAt;) {
    if (random() < 0.02) {
      store.put('k/a', String(writtenAt.length));
      writtenAt.push(performance.now());
    }
    await clock.tickAsync(10);
    check(writtenAt);
  }
}

// Requests reached an upstream 2.6 s after the store had confirmed that it was
// leaving: an answer that was on its way for a second counted as new on arrival.
test.serial('a copy is never older than it says', async t => {
  const {clock, store, ranked, start} = createHarness(t, 6);
  const daemons = start();
  const random = createRandom(46);
  const reader = daemons.find(({name}) => name === ranked[0]) as Daemon;
  await clock.tickAsync(1_000);
  let worstMs = 0;
  await writeNumbers({clock, store}, random, 60_000, writtenAt => {
    const now = performance.now();
    for (const {known, follow} of daemons) {
      const missed = Number(known.get('k/a') ?? -1) + 1;
      const trueMs = now - (writtenAt[missed] ?? now);
      worstMs = Math.max(worstMs, trueMs - follow.readAge());
    }
    // A store at its limit and a full link hold answers back for some time.
    if (random() < 0.05) reader.wayMs = random() < 0.5 ? 0 : 450 * random();
  });
  t.true(worstMs <= 0, `${worstMs} ms older`);
});

/** Starts three data centres of four daemons. */
function startFleet(
  t: ExecutionContext,
  isApart?: (from: string, to: string) => boolean,
) {
  const {clock, store} = createHarness(t, 0);
  const dataCentres = new Map(
    ['a', 'b', 'c'].map(dc => [dc, [0, 1, 2, 3].map(i => `${dc}${i}`)]),
  );
  const rank = (name: string) => rankSources(name[0], dataCentres, name);
  const daemons = startDaemons(t, [...dataCentres.values()].flat(), store, {
    rank,
    isApart,
  });
  const readers = daemons.filter(({name}) => rank(name)[0] === name);
  return {clock, store, daemons, readers, rank};
}

// With a reader in each data centre the calls cost a tenth of what the mesh
// served at 27 instances in five data centres.
test.serial('one daemon of the fleet watches the store', async t => {
  const {clock, store, daemons, readers, rank} = startFleet(t);
  t.is(readers.length, 1);
  for (const {name} of daemons) t.true(rank(name).includes(name), name);
  await clock.tickAsync(2_000);
  const before = store.calls;
  for (let i = 0; i < 10; i++) {
    store.put('k/a', String(i));
    await clock.tickAsync(1_000);
    t.true(daemons.every(({known}) => known.get('k/a') === String(i)));
    for (const {name, follow} of daemons) {
      t.true(follow.readAge() <= FRESH_MS, name);
    }
  }
  t.true(store.calls - before <= 30, `${store.calls - before} calls in 10 s`);
});

for (const fault of ['silent', 'cut'] as const) {
  // The reader of the fleet is the only one that watches the store: the others
  // must find out in time that its copy is old.
  test.serial(`a change arrives in time: fleet reader ${fault}`, async t => {
    const {clock, store, daemons, readers} = startFleet(t);
    const [reader] = readers;
    for (let round = 0; round < 8; round++) {
      await clock.tickAsync(12_000 + round * 170);
      reader[fault] = true;
      await clock.tickAsync(5);
      store.put('k/a', `round ${round}`);
      await clock.tickAsync(FRESH_MS + 2 * SLACK_MS);
      for (const daemon of daemons) {
        if (daemon === reader) continue;
        t.is(daemon.known.get('k/a'), `round ${round}`, daemon.name);
      }
      reader[fault] = false;
    }
  });
}

// Daemons serve on in an outage only if they are told of it, by those that they
// reach: word of it must come before their copies count as too old.
for (const [scope, lost] of [
  ['all data centres', 'abc'],
  ['a data centre that is cut off', 'a'],
]) {
  test.serial(`an outage is known before copies are old: ${scope}`, async t => {
    let isCut = false;
    const isApart = (from: string, to: string) =>
      isCut && lost.includes(from[0]) !== lost.includes(to[0]);
    const {clock, daemons} = startFleet(t, isApart);
    const affected = daemons.filter(({name}) => lost.includes(name[0]));
    for (let round = 0; round < 8; round++) {
      await clock.tickAsync(12_000 + round * 170);
      isCut = true;
      for (const daemon of affected) daemon.cut = true;
      const endAt = performance.now() + 5_000;
      while (performance.now() < endAt) {
        await clock.tickAsync(10);
        const told = affected.some(({follow}) => follow.isStoreLost());
        const oldest = Math.max(...affected.map(d => d.follow.readAge()));
        t.true(
          told || oldest <= MAX_COPY_AGE_MS,
          `round ${round}: ${oldest} ms`,
        );
      }
      isCut = false;
      for (const daemon of affected) daemon.cut = false;
    }
  });
}

test.serial('a change arrives when two readers are lost at once', async t => {
  const {clock, store, daemons, readers, rank} = startFleet(t);
  await clock.tickAsync(12_000);
  const [fleetReader] = readers;
  const other = fleetReader.name.startsWith('a') ? 'b' : 'a';
  const followed = daemons
    .filter(({name}) => name.startsWith(other))
    .map(({name}) => rank(name)[0])
    .find(name => name.startsWith(other));
  const localReader = daemons.find(({name}) => name === followed);
  t.truthy(localReader);
  for (const daemon of [fleetReader, localReader]) {
    if (daemon) daemon.silent = true;
  }
  store.put('k/a', 'new');
  await clock.tickAsync(FRESH_MS + 2 * SLACK_MS);
  for (const daemon of daemons) {
    if (daemon.silent) continue;
    t.is(daemon.known.get('k/a'), 'new', daemon.name);
  }
});

// The loop ended with an unhandled rejection, and so did the process.
test.serial('a source that throws does not end the follower', async t => {
  const clock = FakeTimers.install();
  t.teardown(() => clock.uninstall());
  const store = createFakeStore();
  store.put('k/a', '1');
  let broken = false;
  const rank = (name: string) => {
    if (broken) throw new Error('odd address');
    return [name];
  };
  const [{known, events}] = startDaemons(t, ['d0'], store, {rank});
  await clock.tickAsync(WATCH_MS);
  broken = true;
  await clock.tickAsync(2 * WATCH_MS);
  t.true(events.includes('odd address'));
  store.put('k/b', '1');
  broken = false;
  await clock.tickAsync(2 * WATCH_MS);
  t.deepEqual([...known.keys()], ['k/a', 'k/b']);
});

test('readers share the daemons of a large data centre', t => {
  const names = Array.from({length: 81}, (_, i) => `10.0.0.${i}:7620`);
  const chosen = names.map(name => rankReaders('dc', names, name)[0]);
  const readers = names.filter((name, i) => chosen[i] === name);
  t.is(readers.length, 3);
  t.true(chosen.every(name => readers.includes(name)));
  for (const reader of readers) {
    const share = chosen.filter(name => name === reader).length;
    t.true(share > 10 && share < 50, `${share} daemons ask one reader`);
  }
  t.deepEqual(rankReaders('dc', [], 'x'), []);
});

// A daemon cut off from the store kept applying a take-out that had ended, and
// its upstream became cold meanwhile.
test('a daemon applies only newer state from a peer', t => {
  const mirror = createMirror('k/');
  const known = new Map<string, string>();
  const peer = createMirror('k/');
  const createItem = (key: string, revision: number) => {
    return {key, value: Buffer.from(String(revision)), revision};
  };
  applyFullRead(peer, [createItem('k/a', 5), createItem('k/b', 20)], 20);
  const items = [createItem('k/a', 5), createItem('k/gone', 8)];
  applyFullRead(mirror, items, 10);
  for (const {key, revision} of items) known.set(key, String(revision));
  const state = readMirror(peer, 10);
  t.deepEqual(
    state?.items.map(entry => entry.key),
    ['k/b'],
  );
  const changes = state && applyMirrorState(mirror, state);
  for (const {key, value} of changes ?? []) {
    if (value === undefined) known.delete(key);
    else known.set(key, value.toString());
  }
  t.deepEqual(Object.fromEntries(known), {'k/a': '5', 'k/b': '20'});
  t.is(readMirror(peer, 20), undefined);
  const behind = createMirror('k/');
  applyFullRead(behind, [createItem('k/a', 5)], 15);
  const older = readMirror(behind, -1);
  t.deepEqual(older && applyMirrorState(mirror, older), []);
});
