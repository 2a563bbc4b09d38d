import test from 'ava';
import fc from 'fast-check';
import {
  EJECT_AFTER,
  EJECT_MAX_MS,
  HINT_MAX_AGE_MS,
  MAX_TRACKED_UPSTREAMS,
  chooseUpstream,
  createRandom,
  createRoutingState,
  findCandidates,
  matchRoute,
  countFailure,
  recordReply,
  recordSent,
  markUnavailable,
  normalizePath,
  type MemberRecord,
  type RoutingState,
} from '../src/internal.js';
import {createDocument, createRecord} from './support/owner_fake.js';

const HERE = {dataCentre: 'dc-a', region: 'r1'};

function createMembers(count: number, dataCentre = 'dc-a'): MemberRecord[] {
  const region = dataCentre === 'dc-c' ? 'r2' : 'r1';
  return Array.from({length: count}, (_, i) =>
    createRecord({id: `${dataCentre}-${i}`, dataCentre, region}),
  );
}

function countChoices(
  state: RoutingState,
  members: MemberRecord[],
  now = 0,
  draws = 400,
): Map<string, number> {
  const random = createRandom(7);
  const counts = new Map<string, number>();
  for (let i = 0; i < draws; i++) {
    const id = chooseUpstream(state, members, HERE, random, now)?.id ?? 'none';
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return counts;
}

function report(
  state: RoutingState,
  record: MemberRecord,
  limit: number,
  cold = false,
  now = 0,
): void {
  recordSent(state, record);
  recordReply(state, record.id, {limit, inFlight: 0, queued: 0, cold}, now);
}

test('a prefix does not match inside a segment, and the longest one wins', t => {
  const document = createDocument();
  const {read} = document.routes;
  document.routes['read-one'] = {...read, pathPrefix: '/read/one'};
  const match = (path: string, method = 'GET') =>
    matchRoute(document, method, path)?.name;
  t.is(match('/read'), 'read');
  t.is(match('/read/on'), 'read');
  t.is(match('/read/one/more'), 'read-one');
  t.is(match('/reading'), undefined);
  t.is(match('/read', 'POST'), undefined);
});

test('an encoded path matches no shorter prefix; dot segments are rejected', t => {
  t.is(normalizePath('/book/%6fne//two'), '/book/one/two');
  t.is(normalizePath('/a%2Fb'), '/a/b');
  for (const bad of ['*', 'x', '/a/../b', '/a/%2e%2E/b', '/%', '/a\\b']) {
    t.is(normalizePath(bad), undefined, bad);
  }
});

test('data centres that are out and leaving or gone members get no requests', t => {
  const pick = (...members: MemberRecord[]) =>
    findCandidates(createDocument(['dc-b']), 'shop', members).map(m => m.id);
  const live = createRecord({id: 'live'});
  const suspect = createRecord({id: 'suspect', state: 'suspect'});
  t.deepEqual(pick(live, suspect), ['live']);
  t.deepEqual(pick(suspect), ['suspect']);
  t.deepEqual(
    pick(
      createRecord({id: 'out', dataCentre: 'dc-b'}),
      createRecord({id: 'unknown', dataCentre: 'dc-x'}),
      createRecord({id: 'leaving', state: 'leaving'}),
      createRecord({id: 'gone', state: 'gone'}),
      createRecord({id: 'other', service: 'idle'}),
    ),
    [],
  );
});

test('requests stay in the data centre until all in it are full or cold', t => {
  const near = createMembers(2);
  const far = createMembers(2, 'dc-b');
  const farther = createMembers(1, 'dc-c');
  const all = [...farther, ...far, ...near];
  const state = createRoutingState();
  const sum = (counts: Map<string, number>, members: MemberRecord[]) =>
    members.reduce((total, {id}) => total + (counts.get(id) ?? 0), 0);
  report(state, near[0], 0);
  t.is(sum(countChoices(state, all), near), 400, 'one near upstream is left');
  report(state, near[1], 0);
  t.is(sum(countChoices(state, all), far), 400, 'spills one distance only');
  far.forEach(record => report(state, record, 0));
  t.is(sum(countChoices(state, all), farther), 400);
  report(state, farther[0], 0);
  t.is(
    sum(countChoices(state, all), near),
    400,
    'all full: the nearest decides',
  );
});

test('a cold upstream gets few requests, but is not starved', t => {
  const near = createMembers(2);
  const far = createMembers(2, 'dc-b');
  const state = createRoutingState();
  report(state, near[0], 8);
  report(state, near[1], 4, true);
  const counts = countChoices(state, near);
  t.true((counts.get('dc-a-1') ?? 0) > 0);
  t.true((counts.get('dc-a-1') ?? 0) < 400 / 4);
  // A fully cold data centre keeps a little traffic; the rest goes further.
  report(state, near[0], 1, true);
  far.forEach(record => report(state, record, 8));
  const spilled = countChoices(state, [...near, ...far]);
  const kept =
    400 - (spilled.get('dc-b-0') ?? 0) - (spilled.get('dc-b-1') ?? 0);
  t.true(kept > 0 && kept < 400 / 2, String(kept));
});

test('a load hint that is old or from an earlier process is ignored', t => {
  const [full, free] = createMembers(2);
  const state = createRoutingState();
  report(state, full, 0);
  report(state, free, 8);
  t.is(countChoices(state, [full, free]).get(full.id), undefined);
  const later = countChoices(state, [full, free], HINT_MAX_AGE_MS + 1);
  t.true((later.get(full.id) ?? 0) > 100);
  const restarted = {...full, boot: '00000000000000b2'};
  const counts = countChoices(state, [restarted, free]).get(full.id) ?? 0;
  t.true(counts > 0 && counts < 400 / 4, 'a new process gets few requests');
});

test('an upstream that cannot run requests gets none', t => {
  const [down, up] = createMembers(2);
  const state = createRoutingState();
  recordSent(state, down);
  markUnavailable(state, down.id, 0);
  t.is(countChoices(state, [down, up]).get(down.id), undefined);
});

test('a burst between two hints does not all go to one upstream', t => {
  const [a, b] = createMembers(2);
  const state = createRoutingState();
  report(state, a, 4);
  report(state, b, 4);
  for (let i = 0; i < 4; i++) recordSent(state, a);
  t.is(countChoices(state, [a, b]).get(a.id), undefined);
});

test('ejections never exclude more than half of the candidates', t => {
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: 6}),
      fc.array(fc.nat({max: 5}), {maxLength: 40}),
      (size, failing) => {
        const members = createMembers(size);
        const state = createRoutingState();
        members.forEach(record => recordSent(state, record));
        for (const index of failing) {
          countFailure(state, members[index % size].id, 0);
        }
        const random = createRandom(3);
        const chosen = new Set<string>();
        for (let i = 0; i < 200; i++) {
          const record = chooseUpstream(state, members, HERE, random, 0);
          if (record) chosen.add(record.id);
        }
        return chosen.size >= Math.ceil(size / 2);
      },
    ),
    {seed: 11, numRuns: 60},
  );
  t.pass();
});

test('an upstream that keeps failing is ejected for longer, up to a maximum', t => {
  const members = createMembers(2);
  const [bad] = members;
  const state = createRoutingState();
  members.forEach(record => recordSent(state, record));
  for (let i = 1; i < EJECT_AFTER; i++) t.is(countFailure(state, bad.id, 0), 0);
  t.is(countFailure(state, bad.id, 0), 1_000);
  t.is(countFailure(state, bad.id, 500), 0, 'sent before the ejection');
  t.is(countChoices(state, members, 999).get(bad.id), undefined);
  t.true((countChoices(state, members, 1_000).get(bad.id) ?? 0) > 0);
  t.is(countFailure(state, bad.id, 1_000), 2_000);
  for (let now = 10_000, i = 0; i < 9; i++, now += 60_000) {
    t.true(countFailure(state, bad.id, now) <= EJECT_MAX_MS);
  }
  t.true(recordReply(state, bad.id, undefined, 1e6), 'an answer ends it');
  t.is(countFailure(state, bad.id, 1e6), 0);
});

test('an upstream that was tried is not chosen again', t => {
  const members = createMembers(3);
  const state = createRoutingState();
  const random = createRandom(5);
  const tried = new Set<string>();
  for (let i = 0; i < 3; i++) {
    const context = {...HERE, tried};
    const record = chooseUpstream(state, members, context, random, 0);
    t.false(tried.has(record?.id ?? ''));
    tried.add(record?.id ?? '');
  }
  t.is(chooseUpstream(state, members, {...HERE, tried}, random, 0), undefined);
});

test('the number of tracked upstreams is bounded', t => {
  const state = createRoutingState();
  for (let i = 0; i < MAX_TRACKED_UPSTREAMS + 500; i++) {
    countFailure(state, `upstream-${i}`, 0);
  }
  t.is(state.stats.size, MAX_TRACKED_UPSTREAMS);
});
