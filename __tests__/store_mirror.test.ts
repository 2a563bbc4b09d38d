import test from 'ava';
import fc from 'fast-check';
import {pack} from 'msgpackr';
import {
  applyDelta,
  applyEvents,
  applyMirrorState,
  createDelta,
  createMirror,
  readMirror,
} from '../src/internal.js';

const KEY = 'k/config';

/** A document with many entries, one of which is replaced. */
function createDocument(changed: number): Buffer {
  const routes = Array.from({length: 2_000}, (_, i) => {
    return {name: `r${i}`, host: `h${i * 7919}.example`, version: 0};
  });
  routes[changed].version = changed;
  return Buffer.from(JSON.stringify({version: changed, routes}));
}

function put(
  mirror: ReturnType<typeof createMirror>,
  value: Buffer,
  revision: number,
): void {
  applyEvents(mirror, [{key: KEY, value, revision}], revision);
}

// The reader of a data centre sent the whole configuration to 17 daemons for
// each version. On a loaded link the answers came after the timeout, and the
// daemons sent requests to upstreams that had left.
test('a small change of a large value makes a small answer', t => {
  const [reader, follower] = [createMirror('k/'), createMirror('k/')];
  for (const mirror of [reader, follower]) put(mirror, createDocument(1), 1);
  put(reader, createDocument(1_500), 2);
  const state = readMirror(reader, 1);
  t.true(pack(state).length < 2_000, `${pack(state).length} bytes`);
  const changes = state && applyMirrorState(follower, state);
  t.deepEqual(changes, [{key: KEY, value: createDocument(1_500)}]);
});

// A key was deleted and written again between two watches. A daemon that had seen
// the deletion elsewhere was told that nothing was newer, and missed the key.
test('a key that was created again is news, a heartbeat is not', t => {
  const mirror = createMirror('k/');
  const value = Buffer.from('same');
  const key = 'k/a';
  applyEvents(mirror, [{key, value, revision: 10, created: 10}], 10);
  const heartbeat = {key, value, revision: 12, created: 10};
  t.deepEqual(applyEvents(mirror, [heartbeat], 12), []);
  const again = {key, value, revision: 15, created: 15};
  t.deepEqual(applyEvents(mirror, [again], 15), [{key, value}]);
  t.deepEqual(
    readMirror(mirror, 13)?.items.map(item => item.key),
    [key],
  );
});

test('a daemon without the base of a delta asks for all items', t => {
  const [reader, follower] = [createMirror('k/'), createMirror('k/')];
  put(reader, createDocument(1), 1);
  put(reader, createDocument(3), 3);
  put(follower, createDocument(2), 2);
  const delta = readMirror(reader, 2);
  t.is(delta && applyMirrorState(follower, delta), undefined);
  t.is(follower.revision, 2);
  const all = readMirror(reader, -1);
  const changes = all && applyMirrorState(follower, all);
  t.deepEqual(changes, [{key: KEY, value: createDocument(3)}]);
});

test('a delta restores the value', t => {
  const value = fc.array(fc.constantFrom('a}', 'b}', 'c}', '{', 'x', '\u00e9'));
  fc.assert(
    fc.property(value, value, (before, after) => {
      const [base, next] = [before, after].map(v => Buffer.from(v.join('')));
      return applyDelta(base, createDelta(base, next)).equals(next);
    }),
    {seed: 23, numRuns: 500},
  );
  t.pass();
});
