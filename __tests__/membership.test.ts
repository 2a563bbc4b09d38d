import test from 'ava';
import fc from 'fast-check';
import {
  announceLeaving,
  computeBucketHashes,
  createBoard,
  createRandom,
  handleHeartbeatMembers,
  handleList,
  handleMembers,
  handleMessage,
  handleTick,
  handleWantMembers,
  listMembers,
  mergeRecords,
  MEMBER_STATES,
  recordLinkDown,
  recordLinkUp,
  tickMembership,
  SUSPECT_TIMEOUT_MS,
  type Board,
  type Effect,
  type MemberRecord,
  type MessageOf,
} from '../src/internal.js';

function makeRecord(
  id: string,
  fields: Partial<MemberRecord> = {},
): MemberRecord {
  return {
    id,
    incarnation: 5,
    boot: 'a'.repeat(16),
    dataCentre: 'd1',
    region: 'r1',
    service: 's1',
    host: '127.0.0.1',
    customerPort: 1,
    peerPort: 2,
    state: 'live',
    ...fields,
  };
}

function makeBoard(id: string): Board {
  return createBoard(makeRecord(id), createRandom(1), 0);
}

function addLink(b: Board, peer: string, now = 0): void {
  b.links.set(peer, {peer, dialled: true, upAt: now, lastReceivedAt: now});
}

function receiveRecords(
  b: Board,
  records: MemberRecord[],
  now = 0,
  from = 'peer',
) {
  return handleMembers(b, from, {t: 'members', records}, now);
}

function getState(b: Board, id: string): string | undefined {
  return b.members.byId.get(id)?.record.state;
}

function makeHeartbeat(b: Board): MessageOf<'beat'> {
  return {
    t: 'beat',
    hlc: [0, 0],
    index: 0,
    version: 0,
    digest: '',
    sourceAgeMs: -1,
    buckets: computeBucketHashes(b),
    confirmed: false,
  };
}

function runTicks(b: Board, from: number, to: number): Effect[] {
  const effects: Effect[] = [];
  for (let now = from; now <= to; now += 250) {
    effects.push(...tickMembership(b, now));
  }
  return effects;
}

const anyRecord = fc
  .record({
    incarnation: fc.integer({min: 0, max: 3}),
    boot: fc.constantFrom('a'.repeat(16), 'b'.repeat(16), ''),
    state: fc.constantFrom(...MEMBER_STATES),
    peerPort: fc.integer({min: 1, max: 2}),
  })
  .map(fields => makeRecord('m', fields));

test('the merged record does not depend on the order of arrival', t => {
  const runs = fc.property(fc.array(anyRecord, {minLength: 1}), records => {
    const merged = records.reduce(mergeRecords);
    t.deepEqual([...records].reverse().reduce(mergeRecords), merged);
    t.deepEqual([...records, ...records].reduce(mergeRecords), merged);
  });
  fc.assert(runs, {seed: 11, numRuns: 200});
});

test('a live daemon refutes a record of it as gone or suspect', t => {
  for (const state of ['suspect', 'gone'] as const) {
    const b = makeBoard('me');
    addLink(b, 'peer');
    receiveRecords(b, [makeRecord('me', {state, incarnation: 9})]);
    t.is(b.self.incarnation, 10);
    t.like(runTicks(b, 0, 0)[0], {
      to: 'peer',
      msg: {t: 'members', records: [{id: 'me', incarnation: 10}]},
    });
  }
});

test('a restart with an earlier clock supersedes the previous process', t => {
  const b = makeBoard('me');
  const previous = makeRecord('me', {incarnation: 900, boot: 'b'.repeat(16)});
  const neighbour = makeBoard('n');
  receiveRecords(neighbour, [{...previous, state: 'gone'}]);
  receiveRecords(neighbour, [{...previous, incarnation: 901}]);
  const [effect] = recordLinkUp(neighbour, b.self, 0);
  t.true(effect.kind === 'send' && effect.msg.t === 'members');
  receiveRecords(b, (effect as {msg: MessageOf<'members'>}).msg.records);
  t.is(b.self.incarnation, 902);
});

test('a member that is reported as gone gets time to refute it', t => {
  const b = makeBoard('me');
  receiveRecords(b, [makeRecord('x')]);
  receiveRecords(b, [makeRecord('x', {state: 'gone'})], 0, 'other');
  t.is(getState(b, 'x'), 'suspect');
  t.is(listMembers(b, {service: 's1'}).length, 2);
  runTicks(b, 0, SUSPECT_TIMEOUT_MS - 250);
  t.is(getState(b, 'x'), 'suspect');
  receiveRecords(
    b,
    [makeRecord('x', {incarnation: 6})],
    SUSPECT_TIMEOUT_MS - 250,
  );
  runTicks(b, SUSPECT_TIMEOUT_MS, 3 * SUSPECT_TIMEOUT_MS);
  t.is(getState(b, 'x'), 'live');
});

test('an unreachable member goes from suspect to gone', t => {
  const b = makeBoard('me');
  receiveRecords(b, [makeRecord('x')]);
  recordLinkDown(b, 'x', 0, 'dial-failed');
  t.is(getState(b, 'x'), 'suspect');
  runTicks(b, 0, SUSPECT_TIMEOUT_MS);
  t.is(getState(b, 'x'), 'gone');
  t.deepEqual(
    listMembers(b).map(r => r.id),
    ['me'],
  );
});

test('an active link outweighs a report that the member is gone', t => {
  const b = makeBoard('me');
  receiveRecords(b, [makeRecord('x')]);
  addLink(b, 'x');
  const effects = receiveRecords(b, [makeRecord('x', {state: 'gone'})]);
  t.is(getState(b, 'x'), 'live');
  t.like(effects[0], {kind: 'send', to: 'x'});
});

test('two different member tables converge', t => {
  const views = fc.array(fc.tuple(fc.nat({max: 40}), anyRecord));
  const runs = fc.property(views, views, (left, right) => {
    const [a, b] = [makeBoard('a'), makeBoard('b')];
    for (const [side, view] of [
      [a, left],
      [b, right],
    ] as const) {
      addLink(side, side === a ? 'b' : 'a');
      for (const [n, r] of view) receiveRecords(side, [{...r, id: `m${n}`}]);
    }
    for (let now = 0; now < 40_000; now += 2_000) {
      for (const [x, y] of [
        [a, b],
        [b, a],
      ]) {
        x.links.get(y.self.id)!.lastReceivedAt = now;
        tickMembership(x, now);
        for (const request of handleHeartbeatMembers(
          x,
          y.self.id,
          makeHeartbeat(y),
          now,
        )) {
          const msg = (request as {msg: MessageOf<'wantMembers'>}).msg;
          for (const reply of handleWantMembers(y, x.self.id, msg)) {
            const {records} = (reply as {msg: MessageOf<'members'>}).msg;
            receiveRecords(x, records, now, y.self.id);
          }
        }
      }
    }
    t.deepEqual(computeBucketHashes(a), computeBucketHashes(b));
  });
  fc.assert(runs, {seed: 12, numRuns: 40});
});

test('a change in flight does not trigger a bucket exchange', t => {
  const [a, b] = [makeBoard('a'), makeBoard('b')];
  a.members.requestedFullTable = true;
  receiveRecords(b, [makeRecord('x')]);
  t.is(handleHeartbeatMembers(a, 'b', makeHeartbeat(b), 0).length, 0);
  receiveRecords(a, [makeRecord('x'), makeRecord('b')]);
  receiveRecords(b, [makeRecord('a')]);
  t.is(handleHeartbeatMembers(a, 'b', makeHeartbeat(b), 2_000).length, 0);
});

test('a heartbeat without hashes does not hide a lasting difference', t => {
  const [a, b] = [makeBoard('a'), makeBoard('b')];
  a.members.requestedFullTable = true;
  receiveRecords(a, [makeRecord('b')]);
  receiveRecords(b, [makeRecord('a'), makeRecord('x')]);
  addLink(a, 'b');
  const short = {...makeHeartbeat(b), buckets: []};
  const requests = [makeHeartbeat(b), short, short, short, short].map(
    (msg, i) =>
      handleMessage(a, 'b', msg, 2_000 * i).some(
        effect => effect.kind === 'send' && effect.msg.t === 'wantMembers',
      ),
  );
  t.deepEqual(requests, [false, true, false, false, true]);
});

test('a lagging list neither removes nor re-marks a live member', t => {
  const b = makeBoard('me');
  receiveRecords(b, [makeRecord('x')]);
  const leaving = makeRecord('x', {state: 'leaving', incarnation: 0, boot: ''});
  handleList(b, [makeRecord('y', {state: 'live'})], 0);
  t.is(getState(b, 'x'), 'live');
  t.like(b.members.byId.get('y')!.record, {incarnation: 0, boot: ''});
  handleList(b, [leaving], 0);
  t.is(getState(b, 'x'), 'leaving');
  receiveRecords(b, [makeRecord('x', {incarnation: 6})]);
  handleList(b, [leaving], 0);
  t.is(getState(b, 'x'), 'live');
});

test('a new member in a list is sent to peers', t => {
  const b = makeBoard('me');
  addLink(b, 'p');
  handleList(b, [makeRecord('x')], 0);
  const isUpdate = (effect: Effect): boolean =>
    effect.kind === 'send' && effect.msg.t === 'members';
  t.false(
    runTicks(b, 0, 0).some(isUpdate),
    'every daemon reads the list when it starts',
  );
  handleList(b, [makeRecord('x'), makeRecord('y')], 0);
  t.true(runTicks(b, 250, 250).some(isUpdate));
});

test('gone members are kept while listed and removed afterwards', t => {
  const b = makeBoard('me');
  receiveRecords(b, [makeRecord('x'), makeRecord('y')]);
  handleList(b, [makeRecord('x')], 0);
  recordLinkDown(b, 'x', 0, 'silent');
  recordLinkDown(b, 'y', 0, 'silent');
  runTicks(b, 0, 90_000);
  t.deepEqual([getState(b, 'x'), getState(b, 'y')], ['gone', undefined]);
});

test('a leaving daemon announces it without waiting for a tick', t => {
  const b = makeBoard('me');
  addLink(b, 'p');
  addLink(b, 'q');
  const [first] = announceLeaving(b, 0);
  t.like(first, {msg: {records: [{id: 'me', state: 'leaving'}]}});
  const relay = makeBoard('p');
  addLink(relay, 'q');
  receiveRecords(relay, [makeRecord('me')]);
  t.like(receiveRecords(relay, [b.self], 0, 'me')[0], {to: 'q'});
});

test('the view of a resumed daemon stays stale until a peer replies', t => {
  const b = makeBoard('me');
  addLink(b, 'p');
  receiveRecords(b, [makeRecord('p')]);
  runTicks(b, 0, 1_000);
  runTicks(b, 31_000, 31_000);
  t.true(b.viewStale);
  handleHeartbeatMembers(b, 'p', makeHeartbeat(b), 31_000);
  t.true(b.viewStale, 'a heartbeat buffered during the pause is not a reply');
  handleHeartbeatMembers(
    b,
    'p',
    {...makeHeartbeat(b), echo: b.members.nonce},
    31_100,
  );
  t.false(b.viewStale);
  t.is(getState(b, 'p'), 'live');
});

test('a resumed daemon does not close links for its own pause', t => {
  const b = makeBoard('me');
  addLink(b, 'p');
  handleTick(b, 0);
  const effects = handleTick(b, 31_000);
  const isSilent = (effect: Effect): boolean =>
    effect.kind === 'close' && effect.reason === 'silent';
  t.false(effects.some(isSilent));
});

test('a resumed daemon without peers trusts its view after a time', t => {
  const b = makeBoard('me');
  runTicks(b, 0, 1_000);
  runTicks(b, 31_000, 31_750);
  t.true(b.viewStale);
  runTicks(b, 32_000, 32_000);
  t.false(b.viewStale);
});
