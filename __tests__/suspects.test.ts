import test from 'ava';
import fc from 'fast-check';
import {
  CRASH_MEMORY_MS,
  FINISHED_MEMORY_MS,
  MAX_FINISHED,
  MAX_SUSPECTS,
  REFUSAL_MAX_MS,
  REFUSAL_MIN_MS,
  SAME_CRASH_MS,
  SUSPECT_ISOLATION_MS,
  startIsolatedRun,
  computeFingerprint,
  createBoard,
  createRandom,
  createSuspects,
  endIsolatedRun,
  handleCrash,
  listSuspectRecords,
  mergeSuspectRecords,
  classifyRequest,
  recordCrashes,
  recordFinished,
  reportCrashes,
  type Board,
  type CrashReport,
  type Effect,
} from '../src/internal.js';
import {createRecord} from './support/owner_fake.js';

const FP = 'a'.repeat(32);

function crash(upstream: string, fields: Partial<CrashReport> = {}) {
  const base = {fingerprint: FP, service: 'shop', crashes: 1, ageMs: 0};
  return {...base, upstream, ...fields};
}

function createMesh(size: number): Board[] {
  const boards = Array.from({length: size}, (_, i) =>
    createBoard(createRecord({id: `d${i}`}), createRandom(i), 0),
  );
  for (const board of boards) {
    for (const {self} of boards) {
      if (self.id === board.self.id) continue;
      board.links.set(self.id, {
        peer: self.id,
        dialled: true,
        upAt: 0,
        lastReceivedAt: 0,
      });
    }
  }
  return boards;
}

/** Delivers effects until none is left; returns the number of messages. */
function deliver(boards: Board[], from: Board, first: Effect[], now: number) {
  const queue = first.map(effect => ({from, effect}));
  let messages = 0;
  for (let next = queue.shift(); next; next = queue.shift()) {
    const {effect} = next;
    if (effect.kind !== 'send' || effect.msg.t !== 'crash') continue;
    const to = boards.find(({self}) => self.id === effect.to);
    if (!to) continue;
    messages++;
    const relayed = handleCrash(to, next.from.self.id, effect.msg, now);
    queue.push(...relayed.map(e => ({from: to, effect: e})));
  }
  return messages;
}

test('requests that differ in method, target or body differ in fingerprint', t => {
  const compute = (method: string, target: string, body: string) =>
    computeFingerprint(method, target, Buffer.from(body));
  const all = [
    compute('GET', '/a', ''),
    compute('POST', '/a', ''),
    compute('GET', '/a?b', ''),
    compute('GET', '/a', 'b'),
    compute('GET', '/a\nb', ''),
  ];
  t.is(new Set(all).size, all.length);
  t.regex(all[0], /^[0-9a-f]{32}$/);
});

test('a request with one crash is isolated, and sent normally after 10 s', t => {
  const state = createSuspects();
  t.is(classifyRequest(state, FP, 0).action, 'send');
  recordCrashes(state, [crash('u1')], 0);
  t.is(classifyRequest(state, FP, 0).action, 'alone');
  startIsolatedRun(state, FP);
  t.is(classifyRequest(state, FP, 1).action, 'wait');
  endIsolatedRun(state, FP);
  t.is(classifyRequest(state, FP, SUSPECT_ISOLATION_MS).action, 'alone');
  t.is(classifyRequest(state, FP, SUSPECT_ISOLATION_MS + 1).action, 'send');
});

test('a request with two crashes is refused for 60 s, doubling to 10 min', t => {
  const state = createSuspects();
  recordCrashes(state, [crash('u0')], 0);
  let now = SAME_CRASH_MS + 1;
  const refusals: number[] = [];
  for (let i = 1; i <= 6; i++) {
    recordCrashes(state, [crash(`u${i}`)], now);
    const {action, retryAfterMs} = classifyRequest(state, FP, now);
    t.is(action, 'refuse');
    refusals.push(retryAfterMs);
    now += retryAfterMs;
    t.is(classifyRequest(state, FP, now).action, 'alone', 'one isolated run');
  }
  t.is(refusals[0], REFUSAL_MIN_MS);
  t.deepEqual(refusals.slice(1, 4), [120_000, 240_000, 480_000]);
  t.is(Math.max(...refusals), REFUSAL_MAX_MS);
});

test('a request that is resent slowly is also refused after two crashes', t => {
  const state = createSuspects();
  recordCrashes(state, [crash('u1')], 0);
  recordCrashes(state, [crash('u2')], SUSPECT_ISOLATION_MS * 3);
  t.is(classifyRequest(state, FP, SUSPECT_ISOLATION_MS * 3).action, 'refuse');
});

test('a read in flight when several upstreams crash at once is not refused', t => {
  const state = createSuspects();
  const reports = ['u1', 'u2', 'u3', 'u4'].map(u => crash(u));
  t.is(recordCrashes(state, reports, 0).length, 4);
  t.is(classifyRequest(state, FP, 0).action, 'alone');
  recordFinished(state, FP, 20);
  t.is(classifyRequest(state, FP, 20).action, 'send');
});

test('a request that completed shortly before a crash is not a suspect', t => {
  // A frequent read is in flight at every crash under load.
  const state = createSuspects();
  for (let i = 0; i < 10; i++) {
    const now = i * FINISHED_MEMORY_MS;
    recordFinished(state, FP, now);
    const report = crash(`u${i}`, {crashes: 2});
    t.deepEqual(recordCrashes(state, [report], now + FINISHED_MEMORY_MS), []);
    t.is(classifyRequest(state, FP, now + FINISHED_MEMORY_MS).action, 'send');
  }
  recordCrashes(state, [crash('u')], 10 * FINISHED_MEMORY_MS + 1);
  t.is(classifyRequest(state, FP, 10 * FINISHED_MEMORY_MS + 1).action, 'alone');
});

test('a late copy of a report does not isolate a cleared request again', t => {
  const state = createSuspects();
  recordCrashes(state, [crash('u1')], 0);
  recordFinished(state, FP, 10);
  const late = SUSPECT_ISOLATION_MS - 5;
  t.deepEqual(recordCrashes(state, [crash('u1')], late), []);
  t.is(classifyRequest(state, FP, late).action, 'send');
  const later = FINISHED_MEMORY_MS + 11;
  recordCrashes(state, [crash('u3')], later);
  t.is(classifyRequest(state, FP, later).action, 'alone', 'a new crash');
});

test('a second crash of the same upstream counts after an isolated run', t => {
  const [board] = createMesh(1);
  const crashed = {service: 'shop', upstream: 'u1'};
  reportCrashes(board, [FP], {...crashed, knownCrashes: 0}, 0);
  t.is(classifyRequest(board.suspects, FP, 5).action, 'alone');
  reportCrashes(board, [FP], {...crashed, knownCrashes: 1}, 10);
  t.is(classifyRequest(board.suspects, FP, 10).action, 'refuse');
});

test('reports reach every daemon, and their copies are not relayed', t => {
  const boards = createMesh(6);
  const [first] = boards;
  const crashed = {service: 'shop', upstream: 'u1'};
  const effects = reportCrashes(first, [FP], {...crashed, knownCrashes: 1}, 0);
  const messages = deliver(boards, first, effects, 0);
  for (const board of boards) {
    t.is(classifyRequest(board.suspects, FP, 0).action, 'refuse');
  }
  // Each daemon relays a new report once: at most one message per link end.
  t.true(messages <= 6 * 5, String(messages));
  // Daemons that have cleared the request do not relay copies either.
  boards.forEach(board => recordFinished(board.suspects, FP, 1));
  const copy = {t: 'crash', reports: [crash('u1', {crashes: 2})]} as const;
  t.deepEqual(
    handleCrash(first, 'd1', {...copy, reports: [...copy.reports]}, 2),
    [],
  );
});

test('state and refusals stay bounded under any series of reports', t => {
  const report = fc.record({
    fingerprint: fc.nat({max: 3}).map(n => String(n).repeat(32)),
    upstream: fc.nat({max: 40}).map(n => `u${n}`),
    crashes: fc.integer({min: 1, max: 3}),
    ageMs: fc.nat({max: 20_000}),
  });
  const step = fc.record({report, waitMs: fc.nat({max: 5_000})});
  fc.assert(
    fc.property(fc.array(step, {maxLength: 80}), steps => {
      const state = createSuspects();
      let now = 50_000;
      for (const {report: given, waitMs} of steps) {
        now += waitMs;
        recordCrashes(state, [{...given, service: 'shop'}], now);
        const {retryAfterMs} = classifyRequest(state, given.fingerprint, now);
        if (retryAfterMs > REFUSAL_MAX_MS) return false;
      }
      const end = now + REFUSAL_MAX_MS + CRASH_MEMORY_MS + 1;
      const sizes = [...state.byFingerprint].map(([, s]) => s.upstreams.size);
      const free = [...state.byFingerprint.keys()].every(
        fp => classifyRequest(state, fp, end).action === 'send',
      );
      return free && Math.max(0, ...sizes) <= 16;
    }),
    {seed: 31, numRuns: 100},
  );
  const state = createSuspects();
  const many = Array.from({length: 50}, (_, i) => crash(`u${i}`));
  recordCrashes(state, many, 0);
  t.is(state.byFingerprint.get(FP)?.upstreams.size, 16);
  for (let i = 0; i < MAX_SUSPECTS + 500; i++) {
    const fingerprint = i.toString(16).padStart(32, '0');
    recordCrashes(state, [crash('u', {fingerprint})], i);
  }
  t.is(state.byFingerprint.size, MAX_SUSPECTS);
  for (let i = 0; i < MAX_FINISHED + 500; i++) recordFinished(state, `${i}`, i);
  t.is(state.finished.size, MAX_FINISHED);
});

/** A crash at a time, ms, of one of five upstreams. */
const CRASH_ARBITRARY = fc.record({
  at: fc.integer({min: 0, max: 1_500_000}),
  upstream: fc.constantFrom('u1', 'u2', 'u3', 'u4', 'u5'),
});

function createCrashed(crashes: readonly {at: number; upstream: string}[]) {
  const state = createSuspects();
  for (const {at, upstream} of [...crashes].sort((a, b) => a.at - b.at)) {
    recordCrashes(state, [crash(upstream)], at);
  }
  return state;
}

// A restarted daemon let requests through that all others refused, or would have
// refused them for longer than they do.
test('a daemon that is told the records decides like the teller', t => {
  fc.assert(
    fc.property(
      fc.array(CRASH_ARBITRARY, {minLength: 1, maxLength: 12}),
      fc.array(fc.integer({min: 0, max: 1_500_000}), {maxLength: 5}),
      (crashes, laterMs) => {
        const teller = createCrashed(crashes);
        const now = Math.max(...crashes.map(({at}) => at)) + 1;
        const told = createSuspects();
        const records = listSuspectRecords(teller, now, 10);
        mergeSuspectRecords(told, records, now);
        for (const ms of [0, ...laterMs].sort((a, b) => a - b)) {
          t.deepEqual(
            classifyRequest(told, FP, now + ms),
            classifyRequest(teller, FP, now + ms),
          );
        }
      },
    ),
    {seed: 53, numRuns: 300},
  );
});

test('records that are told again are no news', t => {
  fc.assert(
    fc.property(
      fc.array(CRASH_ARBITRARY, {minLength: 1, maxLength: 12}),
      fc.array(CRASH_ARBITRARY, {maxLength: 12}),
      (crashes, others) => {
        const teller = createCrashed(crashes);
        const told = createCrashed(others);
        const at = [...crashes, ...others].map(crash => crash.at);
        const now = Math.max(...at) + 1;
        const before = classifyRequest(told, FP, now);
        const records = listSuspectRecords(teller, now, 10);
        mergeSuspectRecords(told, records, now);
        const after = classifyRequest(told, FP, now);
        t.true(after.crashes >= before.crashes);
        t.true(after.crashes >= classifyRequest(teller, FP, now).crashes);
        t.true(after.retryAfterMs >= before.retryAfterMs);
        t.deepEqual(mergeSuspectRecords(told, records, now), []);
        t.deepEqual(classifyRequest(told, FP, now), after);
      },
    ),
    {seed: 53, numRuns: 300},
  );
});

test('crashes on both sides of a cut add up once it ends', t => {
  const sides = [0, 3_000].map((at, i) => {
    const state = createSuspects();
    recordCrashes(state, [crash(`u${i}`)], at);
    return state;
  });
  const [first, second] = sides.map(state => listSuspectRecords(state, 9e3, 9));
  mergeSuspectRecords(sides[0], second, 9_000);
  mergeSuspectRecords(sides[1], first, 9_000);
  for (const state of sides) {
    t.is(classifyRequest(state, FP, 9_000).action, 'refuse');
    t.is(classifyRequest(state, FP, 9_000).crashes, 2);
  }
});

test('a record of a request that has completed since is no news', t => {
  const state = createSuspects();
  const teller = createSuspects();
  recordCrashes(teller, [crash('u1'), crash('u2', {ageMs: 5_000})], 20_000);
  recordFinished(state, FP, 21_000);
  const records = listSuspectRecords(teller, 22_000, 10);
  t.is(records.length, 1);
  t.deepEqual(mergeSuspectRecords(state, records, 22_000), []);
  t.is(classifyRequest(state, FP, 22_000).action, 'send');
});

test('records that are told stay within the bounds', t => {
  const teller = createSuspects();
  const reports = Array.from({length: MAX_SUSPECTS}, (_, i) =>
    crash('u1', {fingerprint: i.toString(16).padStart(32, '0')}),
  );
  recordCrashes(teller, reports, 0);
  const records = listSuspectRecords(teller, 1, 100);
  t.is(records.length, 100);
  // The latest ones.
  t.is(records[0].fingerprint, reports[MAX_SUSPECTS - 1].fingerprint);
  const told = createSuspects();
  mergeSuspectRecords(told, listSuspectRecords(teller, 1, Infinity), 1);
  const more = {...records[0], fingerprint: 'f'.repeat(32)};
  mergeSuspectRecords(told, [more], 1);
  t.is(told.byFingerprint.size, MAX_SUSPECTS);
});
