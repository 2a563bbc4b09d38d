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
