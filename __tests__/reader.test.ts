import test from 'ava';
import fc from 'fast-check';
import * as core from '../src/internal.js';
import {createPeer, link, Series} from './support/naive_config.js';

const {computeReaderRank, computeSourceAge, handleSourceReply} = core;
const {MAX_READER_RANKS, READERS, TAKEOVER_MS, TICK_MS, tickReader} = core;
const NAMES = Array.from({length: 12}, (_, i) => `m${i}`);

/** Boards of one data centre in order of rank, each with some versions. */
function createRanked(versions = 3): core.Board[] {
  const {entries} = new Series(versions);
  const boards = NAMES.map(name => {
    const others = NAMES.filter(other => other !== name);
    const board = createPeer(name, [...others, 'x1', 'x2']);
    if (versions > 0) core.applyEntries(board.config, entries);
    return board;
  });
  return boards.sort((a, b) => computeReaderRank(a) - computeReaderRank(b));
}

function startsRead(board: core.Board, now: number): boolean {
  return tickReader(board, now).some(({kind}) => kind === 'readSource');
}

function reportAge(b: core.Board, from: string, ageMs: number, now: number) {
  const beat = {...core.createHeartbeat(b, now), sourceAgeMs: ageMs};
  core.handleHeartbeatConfig(b, from, beat, now);
}

/** Time of the first read when nobody succeeds. */
function findStart(board: core.Board): number {
  let now = 0;
  while (now < 60_000 && !startsRead(board, now)) now += TICK_MS;
  return now;
}

test('the load on the source does not grow with the daemons', t => {
  createRanked().forEach((board, rank) => {
    t.is(computeReaderRank(board), rank);
    const at = findStart(board);
    const from = TAKEOVER_MS + (rank - READERS) * core.TAKEOVER_STEP_MS;
    if (rank < READERS) t.is(at, 0);
    else if (rank >= MAX_READER_RANKS) t.is(at, 60_000);
    else t.true(at > from && at <= from + 500 + TICK_MS);
  });
});

test('a reader that is suspect or leaving is replaced', t => {
  const [first, second, third] = createRanked();
  for (const {members} of [second, third]) {
    members.byId.get(first.self.id)!.record.state = 'suspect';
  }
  t.deepEqual([second, third].map(computeReaderRank), [0, 1]);
  first.self.state = 'leaving';
  t.false(startsRead(first, 0));
});

test('an outage of the source does not cause a storm of reads', t => {
  const boards = createRanked();
  let calls = 0;
  for (let now = 0; now < 120_000; now += TICK_MS) {
    for (const board of boards.filter(item => startsRead(item, now))) {
      calls++;
      core.handleSourceError(board, now);
    }
  }
  // Seven failures lead to the longest backoff, which has a mean of 5 s.
  t.true(calls < MAX_READER_RANKS * (120 / 5 + 7) * 1.5);
  const {failures, nextReadAt} = boards[0].reader;
  t.true(failures > 15 && nextReadAt <= 130_000);
  const events = boards.flatMap(board => board.timeline.events);
  t.false(events.some(event => event.kind === 'readerStopped'));
});

test('a success in another data centre does not hide an outage', t => {
  const [board] = createRanked();
  const near = NAMES.find(name => name !== board.self.id)!;
  reportAge(board, 'x1', 0, 1_000);
  t.is(computeSourceAge(board, 1_000), -1);
  reportAge(board, near, 500, 1_000);
  reportAge(board, near, 3_000, 1_500);
  reportAge(board, near, -1, 1_500);
  t.is(computeSourceAge(board, 2_000), 1_500);
});

test('a reader that took over stops when another one succeeds', t => {
  const [first, , board] = createRanked();
  const start = findStart(board);
  const reply = {index: board.config.index, entries: []};
  const active: boolean[] = [];
  for (let now = start; now < start + 30_000; now += TICK_MS) {
    if (board.reader.pending) handleSourceReply(board, reply, now);
    else tickReader(board, now);
    active.push(board.reader.active);
    // Its own success, reported back by a peer, does not stop it.
    const {succeededAt = now} = board.reader;
    reportAge(board, first.self.id, now - succeededAt, now + 100);
  }
  // It pauses reads, because its own successes hide those of others.
  t.is(active.indexOf(false) * TICK_MS, core.TAKEOVER_READ_MS);
  const stopped = active.filter(value => !value).length;
  t.is(stopped * TICK_MS, core.TAKEOVER_CHECK_MS);
  reportAge(board, first.self.id, 0, start + 31_000);
  t.false(startsRead(board, start + 31_000) || board.reader.active);
});

test('a stale or backwards reply changes nothing and is no success', t => {
  const [board] = createRanked();
  const before = core.getPosition(board.config);
  const {entries} = new Series(6);
  const old = {index: 2, entries: entries.slice(0, 2)};
  const gap = {index: 6, entries: entries.slice(4)};
  [old, gap, old].forEach((reply, i) => {
    t.true(startsRead(board, i * 1_000));
    t.deepEqual(handleSourceReply(board, reply, i * 1_000), []);
    t.false(startsRead(board, i * 1_000));
  });
  t.deepEqual(core.getPosition(board.config), before);
  t.is(board.counters.get('source_stale_replies'), 3);
  t.is(computeSourceAge(board, 3_000), -1);
  const kinds = board.timeline.events.map(event => event.kind);
  t.deepEqual(kinds, ['readerStarted', 'sourceStale']);
});

test('a reply that crosses an update from a peer is not a stale reply', t => {
  const [board] = createRanked(3);
  t.true(startsRead(board, 0));
  const {entries} = new Series(5);
  core.applyEntries(board.config, entries);
  handleSourceReply(board, {index: 4, entries: entries.slice(3, 4)}, 100);
  t.is(board.counters.get('source_stale_replies'), undefined);
  t.is(board.config.current?.version, 5);
  t.is(computeSourceAge(board, 100), 0);
});

test('neither a source that answers at once nor a lost outcome changes the read interval', t => {
  const [board] = createRanked();
  t.true(startsRead(board, 0));
  const reply = {index: board.config.index, entries: []};
  t.deepEqual(handleSourceReply(board, reply, 1), []);
  t.false(startsRead(board, 1));
  t.true(startsRead(board, TICK_MS));
  const after = TICK_MS + core.READ_TIMEOUT_MS;
  for (let now = TICK_MS; now < after; now += TICK_MS) {
    t.false(startsRead(board, now));
  }
  tickReader(board, after);
  t.true(startsRead(board, after + TICK_MS));
  // After a pause the outcome may still be waiting to be handled.
  t.false(startsRead(board, after + 60_000));
  t.true(board.reader.pending);
});

test('new entries are sent on every link, also when peers would reject one of them', t => {
  const [board] = createRanked(3);
  link(board, 'm1', 'm2');
  t.true(startsRead(board, 0));
  const [, , , fourth] = new Series(4).entries;
  const long = {index: 5, prev: 4, kind: 'x'.repeat(99), value: null, more: 1};
  const reply = {index: 5, entries: [fourth, long]};
  const effects = handleSourceReply(board, reply, 1_000);
  const kinds = effects.map(effect => effect.kind);
  t.deepEqual(kinds, ['send', 'send', 'readSource']);
  const [push] = effects;
  t.true(push.kind === 'send' && core.parseMessage(push.msg).ok);
  t.is(board.config.index, 5);
});

test('a fresh daemon asks the source after a random delay, whatever its rank', t => {
  const starts = createRanked(0).map((board, rank) => {
    Object.assign(board, {random: core.createRandom(rank)});
    const start = findStart(board);
    if (rank < MAX_READER_RANKS) return start;
    // A daemon with peers relies on them, so an outage causes no read storm.
    board.reader.pending = false;
    link(board, 'm1');
    t.false(startsRead(board, start + 20_000));
    return start;
  });
  t.true(new Set(starts).size > 3 && Math.max(...starts) <= 1_000);
});

test('a malformed reply is a failed read and never throws', t => {
  const part = fc.oneof(fc.anything(), fc.nat(5));
  const entry = fc.record({index: part, prev: part, kind: part, value: part});
  const entries = fc.oneof(fc.anything(), fc.array(entry));
  const reply = fc.oneof(fc.anything(), fc.record({index: part, entries}));
  const [board] = createRanked(1);
  const check = (value: unknown) => {
    handleSourceReply(board, value as {index: number; entries: []}, 100);
    t.is(board.config.current?.version, 1);
  };
  const wrong = {index: 2.5, prev: 1, kind: 'patch', value: 1};
  check({index: 2, entries: [wrong]});
  t.is(computeSourceAge(board, 100), -1);
  fc.assert(fc.property(reply, check), {seed: 5, numRuns: 200});
});
