import test from 'ava';
import fc from 'fast-check';
import {
  beginKey,
  createKeyClock,
  createKeyTable,
  dropKey,
  finishKey,
  KEY_LIFETIME_MS,
  MAX_KEYS,
  MAX_RECORDED_BYTES,
  mintKey,
  parseKey,
  sweepKeys,
  type BoundKey,
  type KeyDecision,
} from '../src/internal.js';

const SECRET = 'a shared key of the peers';
const BOOTS = ['0'.repeat(16), '1'.repeat(16)];
const SELF = {id: 'up-1', boot: BOOTS[0]};

function makeKey(expiresAt: number, nonce = 'n', self = SELF): BoundKey {
  const parts = {owner: self.id, boot: self.boot, expiresAt, nonce};
  return parseKey(SECRET, mintKey(SECRET, parts))!;
}

interface Process {
  id: string;
  boot: string;
  table: ReturnType<typeof createKeyTable>;
  clock: () => number;
  pending: BoundKey[];
}

type Begin = (process: Process, key: BoundKey) => KeyDecision;

const beginReal: Begin = (process, key) =>
  beginKey(process.table, key, process, process.clock());
const beginNaive: Begin = () => ({
  kind: 'start',
  record: undefined as never,
});

const owner = fc.nat({max: 1});
const step = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({
      do: fc.constant('mint' as const),
      owner,
      ageMs: fc.nat(650_000),
    }),
  },
  {
    weight: 12,
    arbitrary: fc.record({
      do: fc.constant('send' as const),
      owner,
      key: fc.nat(5),
      shed: fc.boolean(),
    }),
  },
  fc.record({
    do: fc.constant('finish' as const),
    owner,
    result: fc.constantFrom('mayHaveRun' as const, 'ran' as const),
  }),
  fc.record({do: fc.constant('restart' as const), owner}),
  fc.record({do: fc.constant('advance' as const), ms: fc.nat(200_000)}),
  fc.record({
    do: fc.constant('skew' as const),
    ms: fc.integer({min: -1e5, max: 1e5}),
  }),
  fc.record({do: fc.constant('sweep' as const), owner}),
);

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

/** Plays a schedule; returns the most runs of one key and all runs. */
function play(schedule: Step[], begin: Begin): {most: number; runs: number} {
  let mono = 0;
  let skewMs = 0;
  let boots = 0;
  const keys: BoundKey[] = [];
  const ledger = new Map<string, number>();
  const wall = () => 1e12 + mono + skewMs;
  const boot = (id: string): Process => ({
    id,
    boot: String(boots++).padStart(16, '0'),
    table: createKeyTable(),
    clock: createKeyClock(wall(), () => mono),
    pending: [],
  });
  const processes = [boot('up-0'), boot('up-1')];
  const send = (process: Process, key: BoundKey, shed: boolean) => {
    if (begin(process, key).kind !== 'start') return;
    if (shed) return dropKey(process.table, key);
    ledger.set(key.text, (ledger.get(key.text) ?? 0) + 1);
    process.pending.push(key);
  };
  for (const s of schedule) {
    if (s.do === 'mint') {
      const expiresAt = wall() + KEY_LIFETIME_MS - s.ageMs;
      keys.push(makeKey(expiresAt, `n${keys.length}`, processes[s.owner]));
    } else if (s.do === 'send' && keys.length > 0) {
      send(processes[s.owner], keys[s.key % keys.length], s.shed);
    } else if (s.do === 'finish') {
      const {pending, table} = processes[s.owner];
      const key = pending.shift();
      if (key) finishKey(table, key, {kind: s.result, status: 200});
    } else if (s.do === 'restart') {
      processes[s.owner] = boot(processes[s.owner].id);
    } else if (s.do === 'advance') mono += s.ms;
    else if (s.do === 'skew') skewMs = s.ms;
    else if (s.do === 'sweep') {
      const {table, clock} = processes[s.owner];
      sweepKeys(table, clock());
    }
  }
  const counts = [...ledger.values()];
  return {most: Math.max(0, ...counts), runs: counts.length};
}

const schedules = fc.array(step, {minLength: 20, maxLength: 80});

test('a key runs twice under repeats, restarts, crashes and clock skew', t => {
  let runs = 0;
  const real = fc.property(schedules, schedule => {
    const played = play(schedule, beginReal);
    runs += played.runs;
    return played.most <= 1;
  });
  fc.assert(real, {seed: 41, numRuns: 400});
  t.true(runs > 400, 'the schedules must start keys at all');
  const naive = fc.property(schedules, s => play(s, beginNaive).most <= 1);
  t.true(fc.check(naive, {seed: 41, numRuns: 50}).failed);
});

test('a record is forgotten while its key may still start', t => {
  const table = createKeyTable();
  const key = makeKey(10_000);
  t.is(beginKey(table, key, SELF, 0).kind, 'start');
  finishKey(table, key, {kind: 'ran', status: 200});
  t.is(sweepKeys(table, 9_999), 0);
  t.is(sweepKeys(table, 10_000), 1);
  // The wall clock of the caller steps back; that of the table does not.
  const again = beginKey(table, key, SELF, 500);
  t.deepEqual(again, {kind: 'refused', outcome: 'keyExpired'});
});

test('a repeat gets an answer other than the recorded one', async t => {
  const table = createKeyTable();
  const key = makeKey(10_000);
  beginKey(table, key, SELF, 0, 'f1');
  const repeat = beginKey(table, key, SELF, 1, 'f1');
  t.is(repeat.kind, 'join');
  const answer = {status: 201, headers: {}, body: Buffer.from('booked')};
  finishKey(table, key, {kind: 'answer', answer});
  finishKey(table, key, {kind: 'mayHaveRun'});
  if (repeat.kind === 'join') {
    t.deepEqual(await repeat.record.done, {kind: 'answer', answer});
  }
  const late = beginKey(table, key, SELF, 2, 'f1');
  t.deepEqual(late, {kind: 'recorded', result: {kind: 'answer', answer}});
  // Another request must not get the answer of this one.
  const other = beginKey(table, key, SELF, 2, 'f2');
  t.deepEqual(other, {kind: 'refused', outcome: 'badKey'});
  // A drop after the run must not open the key again.
  dropKey(table, key);
  t.is(beginKey(table, key, SELF, 3, 'f1').kind, 'recorded');
});

test('a shed key stays closed, or a foreign or far key starts', t => {
  const table = createKeyTable();
  const key = makeKey(10_000);
  beginKey(table, key, SELF, 0);
  dropKey(table, key);
  t.is(beginKey(table, key, SELF, 1).kind, 'start');
  const refuse = (outcome: string) => ({kind: 'refused', outcome});
  const reborn = {...SELF, boot: BOOTS[1]};
  t.deepEqual(beginKey(table, key, reborn, 0), refuse('keyOwnerGone'));
  const other = {...SELF, id: 'up-2'};
  t.deepEqual(beginKey(table, key, other, 0), refuse('keyOwnerGone'));
  t.deepEqual(beginKey(table, makeKey(660_002), SELF, 1), refuse('badKey'));
});

test('records or recorded answers grow without bound', t => {
  const table = createKeyTable();
  for (let i = 0; i < MAX_KEYS; i++) {
    const key = makeKey(10_000, `n${i}`);
    beginKey(table, key, SELF, 0);
    if (i === 0) finishKey(table, key, {kind: 'ran', status: 200});
  }
  const extra = makeKey(20_000);
  const full = beginKey(table, extra, SELF, 1);
  t.deepEqual(full, {kind: 'refused', outcome: 'keyTableFull'});
  // Only the finished record may go once its key has expired.
  t.is(beginKey(table, extra, SELF, 10_000).kind, 'start');
  t.is(table.records.size, MAX_KEYS);
  const body = Buffer.alloc(MAX_RECORDED_BYTES + 1);
  const answer = {status: 200, headers: {}, body};
  finishKey(table, extra, {kind: 'answer', answer});
  const large = beginKey(table, extra, SELF, 10_001);
  t.deepEqual(large, {
    kind: 'recorded',
    result: {kind: 'ran', status: 200},
  });
});

test('a forged or damaged key is taken for a bound key', t => {
  const {text} = makeKey(10_000);
  t.truthy(parseKey(SECRET, text));
  t.is(parseKey('another shared key!', text), undefined);
  const damaged = fc.property(
    fc.nat(text.length - 1),
    fc.constantFrom('0', 'z', '~', '', ' '),
    (at, put) => {
      const changed = text.slice(0, at) + put + text.slice(at + 1);
      return changed === text || parseKey(SECRET, changed) === undefined;
    },
  );
  fc.assert(damaged, {seed: 7, numRuns: 300});
  fc.assert(
    fc.property(fc.string(), s => parseKey(SECRET, s) === undefined),
    {seed: 8, numRuns: 100},
  );
  t.pass();
});
