import test from 'ava';
import fc from 'fast-check';
import {
  announceLeaving,
  computeBuckets,
  createBoard,
  createRandom,
  handleBeatMembers,
  handleList,
  handleMembers,
  handleMessage,
  handleTick,
  handleWantMembers,
  listMembers,
  mergeRecords,
  MEMBER_STATES,
  noteLinkDown,
  noteLinkUp,
  tickMembership,
  SUSPECT_MS,
  type Board,
  type Effect,
  type MemberRecord,
  type MessageOf,
} from '../src/internal.js';

function record(id: string, fields: Partial<MemberRecord> = {}): MemberRecord {
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

function board(id: string): Board {
  return createBoard(record(id), createRandom(1), 0);
}

function link(b: Board, peer: string, now = 0): void {
  b.links.set(peer, {peer, dialled: true, upAt: now, heardAt: now});
}

function tell(b: Board, records: MemberRecord[], now = 0, from = 'peer') {
  return handleMembers(b, from, {t: 'members', records}, now);
}

function stateOf(b: Board, id: string): string | undefined {
  return b.members.byId.get(id)?.record.state;
}

function beat(b: Board): MessageOf<'beat'> {
  return {
    t: 'beat',
    hlc: [0, 0],
    index: 0,
    version: 0,
    digest: '',
    sourceAgeMs: -1,
    buckets: computeBuckets(b),
    confirmed: false,
  };
}

function ticks(b: Board, from: number, to: number): Effect[] {
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
  .map(fields => record('m', fields));

test('the order of arrival of records does not change the merged one', t => {
  const runs = fc.property(fc.array(anyRecord, {minLength: 1}), records => {
    const merged = records.reduce(mergeRecords);
    t.deepEqual([...records].reverse().reduce(mergeRecords), merged);
    t.deepEqual([...records, ...records].reduce(mergeRecords), merged);
  });
  fc.assert(runs, {seed: 11, numRuns: 200});
});

test('a live daemon recorded as gone or suspect does not stay so', t => {
  for (const state of ['suspect', 'gone'] as const) {
    const b = board('me');
    link(b, 'peer');
    tell(b, [record('me', {state, incarnation: 9})]);
    t.is(b.self.incarnation, 10);
    t.like(ticks(b, 0, 0)[0], {
      to: 'peer',
      msg: {t: 'members', records: [{id: 'me', incarnation: 10}]},
    });
  }
});

test('a restart with a clock behind does not stay hidden by its past', t => {
  const b = board('me');
  const past = record('me', {incarnation: 900, boot: 'b'.repeat(16)});
  const neighbour = board('n');
  tell(neighbour, [{...past, state: 'gone'}]);
  tell(neighbour, [{...past, incarnation: 901}]);
  const [effect] = noteLinkUp(neighbour, b.self, 0);
  t.true(effect.kind === 'send' && effect.msg.t === 'members');
  tell(b, (effect as {msg: MessageOf<'members'>}).msg.records);
  t.is(b.self.incarnation, 902);
});

test('a rumour of death does not remove a member that can refute it', t => {
  const b = board('me');
  tell(b, [record('x')]);
  tell(b, [record('x', {state: 'gone'})], 0, 'other');
  t.is(stateOf(b, 'x'), 'suspect');
  t.is(listMembers(b, {service: 's1'}).length, 2);
  ticks(b, 0, SUSPECT_MS - 250);
  t.is(stateOf(b, 'x'), 'suspect');
  tell(b, [record('x', {incarnation: 6})], SUSPECT_MS - 250);
  ticks(b, SUSPECT_MS, 3 * SUSPECT_MS);
  t.is(stateOf(b, 'x'), 'live');
});

test('a dead member does not stay suspect for ever', t => {
  const b = board('me');
  tell(b, [record('x')]);
  noteLinkDown(b, 'x', 0, 'dial-failed');
  t.is(stateOf(b, 'x'), 'suspect');
  ticks(b, 0, SUSPECT_MS);
  t.is(stateOf(b, 'x'), 'gone');
  t.deepEqual(
    listMembers(b).map(r => r.id),
    ['me'],
  );
});

test('a rumour does not outweigh a link that carries messages', t => {
  const b = board('me');
  tell(b, [record('x')]);
  link(b, 'x');
  const effects = tell(b, [record('x', {state: 'gone'})]);
  t.is(stateOf(b, 'x'), 'live');
  t.like(effects[0], {kind: 'send', to: 'x'});
});

test('two views that differ do not stay different', t => {
  const views = fc.array(fc.tuple(fc.nat({max: 40}), anyRecord));
  const runs = fc.property(views, views, (left, right) => {
    const [a, b] = [board('a'), board('b')];
    for (const [side, view] of [
      [a, left],
      [b, right],
    ] as const) {
      link(side, side === a ? 'b' : 'a');
      for (const [n, r] of view) tell(side, [{...r, id: `m${n}`}]);
    }
    for (let now = 0; now < 40_000; now += 2_000) {
      for (const [x, y] of [
        [a, b],
        [b, a],
      ]) {
        x.links.get(y.self.id)!.heardAt = now;
        tickMembership(x, now);
        for (const ask of handleBeatMembers(x, y.self.id, beat(y), now)) {
          const msg = (ask as {msg: MessageOf<'wantMembers'>}).msg;
          for (const reply of handleWantMembers(y, x.self.id, msg)) {
            const {records} = (reply as {msg: MessageOf<'members'>}).msg;
            tell(x, records, now, y.self.id);
          }
        }
      }
    }
    t.deepEqual(computeBuckets(a), computeBuckets(b));
  });
  fc.assert(runs, {seed: 12, numRuns: 40});
});

test('a change in flight does not cost a bucket exchange', t => {
  const [a, b] = [board('a'), board('b')];
  a.members.askedAll = true;
  tell(b, [record('x')]);
  t.is(handleBeatMembers(a, 'b', beat(b), 0).length, 0);
  tell(a, [record('x'), record('b')]);
  tell(b, [record('a')]);
  t.is(handleBeatMembers(a, 'b', beat(b), 2_000).length, 0);
});

test('a beat without hashes does not hide that tables still differ', t => {
  const [a, b] = [board('a'), board('b')];
  a.members.askedAll = true;
  tell(a, [record('b')]);
  tell(b, [record('a'), record('x')]);
  link(a, 'b');
  const short = {...beat(b), buckets: []};
  const asks = [beat(b), short, short, short, short].map((msg, i) =>
    handleMessage(a, 'b', msg, 2_000 * i).some(
      effect => effect.kind === 'send' && effect.msg.t === 'wantMembers',
    ),
  );
  t.deepEqual(asks, [false, true, false, false, true]);
});

test('a lagging list neither kills nor keeps marking a live member', t => {
  const b = board('me');
  tell(b, [record('x')]);
  const leaving = record('x', {state: 'leaving', incarnation: 0, boot: ''});
  handleList(b, [record('y', {state: 'live'})], 0);
  t.is(stateOf(b, 'x'), 'live');
  t.like(b.members.byId.get('y')!.record, {incarnation: 0, boot: ''});
  handleList(b, [leaving], 0);
  t.is(stateOf(b, 'x'), 'leaving');
  tell(b, [record('x', {incarnation: 6})]);
  handleList(b, [leaving], 0);
  t.is(stateOf(b, 'x'), 'live');
});

test('news in a list does not stay with the daemon that read it', t => {
  const b = board('me');
  link(b, 'p');
  handleList(b, [record('x')], 0);
  const isNews = (effect: Effect): boolean =>
    effect.kind === 'send' && effect.msg.t === 'members';
  t.false(ticks(b, 0, 0).some(isNews), 'all read the list when they start');
  handleList(b, [record('x'), record('y')], 0);
  t.true(ticks(b, 250, 250).some(isNews));
});

test('gone members stay known while listed and do not pile up after', t => {
  const b = board('me');
  tell(b, [record('x'), record('y')]);
  handleList(b, [record('x')], 0);
  noteLinkDown(b, 'x', 0, 'silent');
  noteLinkDown(b, 'y', 0, 'silent');
  ticks(b, 0, 90_000);
  t.deepEqual([stateOf(b, 'x'), stateOf(b, 'y')], ['gone', undefined]);
});

test('a leaving daemon does not wait for the next tick to say so', t => {
  const b = board('me');
  link(b, 'p');
  link(b, 'q');
  const [first] = announceLeaving(b, 0);
  t.like(first, {msg: {records: [{id: 'me', state: 'leaving'}]}});
  const relay = board('p');
  link(relay, 'q');
  tell(relay, [record('me')]);
  t.like(tell(relay, [b.self], 0, 'me')[0], {to: 'q'});
});

test('a resumed daemon does not trust its view before a peer answers', t => {
  const b = board('me');
  link(b, 'p');
  tell(b, [record('p')]);
  ticks(b, 0, 1_000);
  ticks(b, 31_000, 31_000);
  t.true(b.viewStale);
  handleBeatMembers(b, 'p', beat(b), 31_000);
  t.true(b.viewStale, 'a beat buffered during the pause is no answer');
  handleBeatMembers(b, 'p', {...beat(b), echo: b.members.ask}, 31_100);
  t.false(b.viewStale);
  t.is(stateOf(b, 'p'), 'live');
});

test('a resumed daemon does not blame peers for its own silence', t => {
  const b = board('me');
  link(b, 'p');
  handleTick(b, 0);
  const effects = handleTick(b, 31_000);
  const isSilent = (effect: Effect): boolean =>
    effect.kind === 'close' && effect.reason === 'silent';
  t.false(effects.some(isSilent));
});

test('a resumed daemon without peers does not refuse work for ever', t => {
  const b = board('me');
  ticks(b, 0, 1_000);
  ticks(b, 31_000, 31_750);
  t.true(b.viewStale);
  ticks(b, 32_000, 32_000);
  t.false(b.viewStale);
});
