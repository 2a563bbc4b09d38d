import test from 'ava';
import {
  createUpstreamList,
  expireUpstreams,
  findByAddress,
  listService,
  EXPIRY_GRACE_MS,
  recordListFault,
  putUpstream,
  removeUpstream,
} from '../src/internal.js';
import {makeUpstream} from './support/mesh_fixtures.js';

test('a deleted entry is removed at once while the list is healthy', t => {
  const list = createUpstreamList();
  putUpstream(list, makeUpstream(), 0);
  t.true(removeUpstream(list, 'u1', 10));
  t.deepEqual(listService(list, 's'), []);
});

test('entries that expire around an outage are kept for the grace time', t => {
  const list = createUpstreamList();
  putUpstream(list, makeUpstream({id: 'back'}), 0);
  putUpstream(list, makeUpstream({id: 'lost', port: 8_001}), 0);
  recordListFault(list, 1_000);
  t.false(removeUpstream(list, 'back', 1_100));
  t.false(removeUpstream(list, 'lost', 1_100));
  t.is(listService(list, 's').length, 2);
  putUpstream(list, makeUpstream({id: 'back'}), 2_000);
  t.deepEqual(expireUpstreams(list, 1_000 + EXPIRY_GRACE_MS), ['lost']);
  t.deepEqual([...list.byId.keys()], ['back']);
});

test('an upstream that was leaving is removed during an outage', t => {
  const list = createUpstreamList();
  putUpstream(list, makeUpstream({state: 'leaving'}), 0);
  recordListFault(list, 0);
  t.true(removeUpstream(list, 'u1', 10));
});

test('a reused address maps only to the upstream that started last', t => {
  const list = createUpstreamList();
  putUpstream(list, makeUpstream({id: 'old', startedAt: 5}), 0);
  putUpstream(list, makeUpstream({id: 'new', service: 'z', startedAt: 9}), 0);
  t.is(findByAddress(list, '127.0.0.1', 8_000)?.id, 'new');
  t.deepEqual(listService(list, 's'), []);
});

// Heartbeats of the later upstream no longer repeat its entry, so that an entry
// of the earlier one that comes late would have stayed in the choice.
test('an ended upstream that is listed late is not chosen', t => {
  const list = createUpstreamList();
  putUpstream(list, makeUpstream({id: 'new', service: 'z', startedAt: 9}), 0);
  putUpstream(list, makeUpstream({id: 'old', startedAt: 5}), 1);
  t.deepEqual(listService(list, 's'), []);
  t.is(findByAddress(list, '127.0.0.1', 8_000)?.id, 'new');
  removeUpstream(list, 'new', 2);
  t.is(findByAddress(list, '127.0.0.1', 8_000)?.id, 'old');
});

test('a delayed write of an earlier incarnation is ignored', t => {
  const list = createUpstreamList();
  putUpstream(list, makeUpstream({startedAt: 9}), 0);
  t.false(putUpstream(list, makeUpstream({startedAt: 5, state: 'leaving'}), 1));
  t.is(list.byId.get('u1')?.state, 'live');
});
