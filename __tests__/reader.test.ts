import test from 'ava';
import fc from 'fast-check';
import {
  applyEntries,
  computeReaderRank,
  computeSourceAge,
  createBoard,
  createRandom,
  handleBeatConfig,
  handleList,
  handleSourceError,
  handleSourceReply,
  MAX_READER_RANKS,
  READ_TIMEOUT_MS,
  READERS,
  TAKEOVER_CHECK_MS,
  TAKEOVER_HOLD_MS,
  TAKEOVER_MS,
  TAKEOVER_STEP_MS,
  TICK_MS,
  tickReader,
  type Board,
  type MemberRecord,
} from '../src/internal.js';
import {exampleDocument, Platform, withSlots} from './support/naive_config.js';

const NAMES = Array.from({length: 12}, (_, i) => `m${i}`);

function record(id: string, dataCentre = 'd1'): MemberRecord {
  const place = {dataCentre, region: 'r1', service: 's1', host: '127.0.0.1'};
  const ports = {customerPort: 1, peerPort: 2};
  return {id, incarnation: 0, boot: '', ...place, ...ports, state: 'live'};
}

function publish(versions: number): Platform {
  const platform = new Platform();
  platform.publishSnapshot(1, exampleDocument());
  for (let slots = 11; slots < 10 + versions; slots++) {
    const {version} = platform;
    platform.publishPatch(version, withSlots(version.document, slots));
  }
  return platform;
}

/** The daemons of one data centre by rank, each with a version. */
function createRanked(versions = 3): Board[] {
  const {entries} = publish(versions);
  const boards = NAMES.map((name, i) => {
    const board = createBoard(record(name), createRandom(i), 0);
    const others = NAMES.filter(other => other !== name);
    const far = [record('far1', 'd2'), record('far2', 'd2')];
    handleList(board, [...others.map(id => record(id)), ...far], 0);
    applyEntries(board.config, entries);
    return board;
  });
  return boards.sort((a, b) => computeReaderRank(a) - computeReaderRank(b));
}

function reads(board: Board, now: number): number {
  const effects = tickReader(board, now);
  return effects.filter(effect => effect.kind === 'readSource').length;
}

function hearAge(board: Board, from: string, sourceAgeMs: number, now: number) {
  const {index} = board.config;
  const {version, digest} = board.config.current!;
  const buckets = new Array<number>(16).fill(0);
  const rest = {index, version, digest, sourceAgeMs, buckets};
  const msg = {t: 'beat', hlc: [0, 0], confirmed: true, ...rest} as const;
  handleBeatConfig(board, from, {...msg, hlc: [0, 0], buckets}, now);
}

/** Rank of a board and the time of its first read when nobody succeeds. */
function findTakeover(board: Board): number {
  for (let now = 0; now < 60_000; now += TICK_MS) {
    if (reads(board, now) > 0) return now;
  }
  return Infinity;
}

test('the load on the source does not grow with the daemons', t => {
  const boards = createRanked();
  t.deepEqual(
    boards.map(computeReaderRank),
    NAMES.map((_, rank) => rank),
  );
  t.is(boards.filter(board => reads(board, 0) > 0).length, READERS);
  const starts = boards.map(findTakeover);
  starts.forEach((at, rank) => {
    const from = TAKEOVER_MS + (rank - READERS) * TAKEOVER_STEP_MS;
    if (rank >= MAX_READER_RANKS) t.is(at, Infinity);
    else if (rank >= READERS) t.true(at > from && at <= from + 750);
  });
});

test('ranks shift when a reader is no longer live', t => {
  const [first, second, third] = createRanked();
  const {id} = first.self;
  for (const board of [second, third]) {
    board.members.byId.get(id)!.record.state = 'suspect';
  }
  t.deepEqual([second, third].map(computeReaderRank), [0, 1]);
  first.self.state = 'leaving';
  t.is(reads(first, 0), 0);
});

test('an outage of the source does not cause a storm of reads', t => {
  const boards = createRanked();
  let calls = 0;
  for (let now = 0; now < 120_000; now += TICK_MS) {
    for (const board of boards) {
      if (reads(board, now) === 0) continue;
      calls++;
      handleSourceError(board, now);
    }
  }
  // Backoff reaches a mean of 5 s after seven failures.
  t.true(calls < MAX_READER_RANKS * (120 / 5 + 7) * 1.5);
  const first = boards[0].reader;
  t.true(first.failures > 15 && first.nextReadAt <= 130_000);
});

test('a peer age of another data centre does not hide an outage', t => {
  const [, , third] = createRanked();
  const [near] = [...third.members.byId.keys()];
  hearAge(third, 'far1', 0, 1_000);
  t.is(computeSourceAge(third, 1_000), -1);
  hearAge(third, near, 500, 1_000);
  hearAge(third, near, 3_000, 1_500);
  hearAge(third, near, -1, 1_500);
  t.is(computeSourceAge(third, 2_000), 1_500);
});

test('a rank that took over stops when another reader succeeds', t => {
  const [first, , third] = createRanked();
  const start = findTakeover(third);
  const reply = {index: third.config.index, entries: []};
  handleSourceReply(third, reply, start + 100);
  // The echo of its own success does not stop it.
  hearAge(third, first.self.id, 190, start + 300);
  t.is(reads(third, start + 400), 1);
  hearAge(third, first.self.id, 0, start + 2_000);
  handleSourceReply(third, reply, start + 1_000);
  t.is(reads(third, start + 2_250), 0);
  t.false(third.reader.active);
});

test('a rank that reads for long stops to see others succeed', t => {
  const [, , third] = createRanked();
  const start = findTakeover(third);
  const reply = {index: third.config.index, entries: []};
  const active: boolean[] = [];
  for (let now = start; now < start + 30_000; now += TICK_MS) {
    if (third.reader.pending) handleSourceReply(third, reply, now);
    else tickReader(third, now);
    active.push(third.reader.active);
  }
  const pause = active.filter(value => !value).length * TICK_MS;
  t.is(pause, TAKEOVER_CHECK_MS);
  t.is(active.indexOf(false) * TICK_MS, TAKEOVER_HOLD_MS);
});

test('a stale or backwards reply changes nothing and is no success', t => {
  const [board] = createRanked(3);
  const before = structuredClone(board.config.current);
  const old = publish(2).reply(0);
  const {index, prev, ...rest} = publish(6).entries[5];
  const ahead = {...rest, index: index + 2, prev: prev + 2};
  let now = 0;
  for (const reply of [old, {index: 8, entries: [ahead]}, old]) {
    t.is(reads(board, now), 1);
    t.deepEqual(handleSourceReply(board, reply, now), []);
    t.is(reads(board, now), 0);
    now += 1_000;
  }
  t.deepEqual(board.config.current, before);
  t.is(board.counters.get('source_stale_replies'), 3);
  t.is(computeSourceAge(board, now), -1);
  const events = board.timeline.events.map(event => event.kind);
  t.is(events.filter(kind => kind === 'sourceStale').length, 1);
});

test('a reply that crosses an update from a peer is no stale reply', t => {
  const [board] = createRanked(3);
  t.is(reads(board, 0), 1);
  applyEntries(board.config, publish(5).entries);
  const late = publish(4).reply(3);
  handleSourceReply(board, late, 100);
  t.is(board.counters.get('source_stale_replies'), undefined);
  t.is(board.config.current?.version, 5);
  t.is(computeSourceAge(board, 100), 0);
});

test('at most one read is pending and a lost outcome does not end reading', t => {
  const [board] = createRanked();
  let count = 0;
  for (let now = 0; now < READ_TIMEOUT_MS; now += TICK_MS) {
    count += reads(board, now);
  }
  t.is(count, 1);
  const after = READ_TIMEOUT_MS + TICK_MS;
  tickReader(board, after);
  t.is(reads(board, after + 250), 1);
  // A pause may only have kept the outcome from being handled.
  t.is(reads(board, after + 60_000), 0);
  t.true(board.reader.pending);
});

test('a source that does not hold reads is not asked in a tight loop', t => {
  const [board] = createRanked();
  t.is(reads(board, 0), 1);
  const reply = {index: board.config.index, entries: []};
  t.deepEqual(handleSourceReply(board, reply, 1), []);
  t.is(reads(board, 1), 0);
  t.is(reads(board, TICK_MS), 1);
});

test('new entries of the source reach every link and the next read at once', t => {
  const [board] = createRanked(3);
  for (const peer of ['m1', 'm2']) {
    board.links.set(peer, {peer, dialled: true, upAt: 0, heardAt: 0});
  }
  reads(board, 0);
  const effects = handleSourceReply(board, publish(5).reply(3), 1_000);
  const kinds = effects.map(effect => effect.kind);
  t.deepEqual(kinds, ['send', 'send', 'readSource']);
});

test('an entry that no peer would accept does not stop the series', t => {
  const [board] = createRanked(1);
  reads(board, 0);
  const kind = 'x'.repeat(100);
  const entry = {index: 2, prev: 1, kind, value: null, more: 1};
  handleSourceReply(board, {index: 2, entries: [entry]}, 100);
  t.is(board.config.index, 2);
  t.deepEqual(board.config.log.at(-1)?.kind, 'x'.repeat(32));
});

test('a fresh daemon asks the source after a random delay, whatever its rank', t => {
  const rank = NAMES.length - 1;
  const {self} = createRanked()[rank];
  const starts = [1, 2, 3].map(seed => {
    const board = createBoard(self, createRandom(seed), 0);
    handleList(
      board,
      NAMES.filter(id => id !== self.id).map(id => record(id)),
      0,
    );
    t.is(computeReaderRank(board), rank);
    const start = findTakeover(board);
    // With peers it relies on them, so that an outage causes no storm.
    board.reader.pending = false;
    board.links.set('m1', {peer: 'm1', dialled: true, upAt: 0, heardAt: 0});
    t.is(reads(board, start + 20_000), 0);
    return start;
  });
  t.true(new Set(starts).size > 1);
  t.true(Math.max(...starts) <= 1_000);
});

test('a malformed reply is a failed read and never throws', t => {
  const part = fc.oneof(fc.anything(), fc.nat(5));
  const entry = fc.record({index: part, prev: part, kind: part, value: part});
  const entries = fc.oneof(fc.anything(), fc.array(entry));
  const reply = fc.oneof(fc.anything(), fc.record({index: part, entries}));
  const check = (value: unknown) => {
    const [board] = createRanked(1);
    reads(board, 0);
    handleSourceReply(board, value as ReturnType<Platform['reply']>, 100);
    t.true(board.config.current?.version === 1);
  };
  fc.assert(fc.property(reply, check), {seed: 5, numRuns: 100});
});
