import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {
  applyMirrorState,
  createMirror,
  readMirror,
  startStoreWatch,
  STORE_RETRY_MS,
  WATCH_MS,
  type KeyChange,
} from '../src/internal.js';
import {createFakeStore} from './support/store_fake.js';

function makeRig(pageSize?: number) {
  const store = createFakeStore(pageSize);
  const mirror = createMirror('k/');
  const known = new Map<string, string>();
  const faults: string[] = [];
  const onChanges = (changes: KeyChange[]) => {
    for (const {key, value} of changes) {
      if (value === undefined) known.delete(key);
      else known.set(key, value.toString());
    }
  };
  const start = () =>
    startStoreWatch({
      store,
      mirror,
      onChanges,
      onFault: err => faults.push(err.message),
      onRecovered: () => faults.push('recovered'),
      random: () => 0.5,
    });
  return {store, mirror, known, faults, start, onChanges};
}

test.serial('reads all pages and follows changes', async t => {
  const clock = FakeTimers.install();
  t.teardown(() => clock.uninstall());
  const {store, known, start} = makeRig(2);
  for (const name of ['a', 'b', 'c', 'd', 'e']) store.put(`k/${name}`, name);
  store.put('other/x', 'x');
  const watch = start();
  await clock.tickAsync(10);
  t.is(known.size, 5);
  store.put('k/f', 'f');
  store.remove('k/a');
  await clock.tickAsync(1_000);
  t.deepEqual([...known.keys()].sort(), ['k/b', 'k/c', 'k/d', 'k/e', 'k/f']);
  watch.stop();
});

test.serial('a key that vanished with the history is gone', async t => {
  const clock = FakeTimers.install();
  t.teardown(() => clock.uninstall());
  const {store, known, start} = makeRig();
  store.put('k/a', '1');
  store.put('k/b', '1');
  const watch = start();
  await clock.tickAsync(10);
  store.down = true;
  store.remove('k/a');
  store.compact();
  await clock.tickAsync(1_000);
  store.down = false;
  await clock.tickAsync(WATCH_MS + 2 * STORE_RETRY_MS.longest);
  t.deepEqual([...known.keys()], ['k/b']);
  watch.stop();
});

test.serial('an outage is told once and its end once', async t => {
  const clock = FakeTimers.install();
  t.teardown(() => clock.uninstall());
  const {store, faults, start} = makeRig();
  store.down = true;
  const watch = start();
  await clock.tickAsync(5_000);
  const calls = store.calls;
  t.true(calls <= 5_000 / STORE_RETRY_MS.shortest);
  store.down = false;
  store.put('k/a', '1');
  await clock.tickAsync(WATCH_MS);
  t.deepEqual(faults, ['store is down', 'recovered']);
  watch.stop();
});

// A daemon cut from the store served under a take-out that had ended, and its
// upstream turned cold meanwhile.
test('a daemon learns from a peer what is newer, and only that', t => {
  const {mirror, known, onChanges} = makeRig();
  const peer = createMirror('k/');
  const item = (key: string, revision: number) => {
    return {key, value: Buffer.from(String(revision)), revision};
  };
  peer.revision = 20;
  for (const entry of [item('k/a', 5), item('k/b', 20)]) {
    peer.items.set(entry.key, entry);
  }
  mirror.revision = 10;
  for (const entry of [item('k/a', 5), item('k/gone', 8)]) {
    mirror.items.set(entry.key, entry);
    known.set(entry.key, String(entry.revision));
  }
  const state = readMirror(peer, 10);
  t.deepEqual(
    state?.items.map(entry => entry.key),
    ['k/b'],
  );
  if (state) onChanges(applyMirrorState(mirror, state));
  t.deepEqual(Object.fromEntries(known), {'k/a': '5', 'k/b': '20'});
  t.is(readMirror(peer, 20), undefined);
  peer.revision = 15;
  const older = readMirror(peer, -1);
  t.deepEqual(older && applyMirrorState(mirror, older), []);
});
