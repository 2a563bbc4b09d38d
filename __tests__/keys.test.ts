import test from 'ava';
import fc from 'fast-check';
import {
  beginKey,
  createKeyTable,
  dropKey,
  finishKey,
  MAX_KEYS,
  MAX_RECORDED_BYTES,
  mintKey,
  parseKey,
  sweepKeys,
  type BoundKey,
} from '../src/internal.js';

const SECRET = 'a shared key of the peers';
const BOOTS = ['0'.repeat(16), '1'.repeat(16)];
const SELF = {id: 'up-1', boot: BOOTS[0]};

function makeKey(expiresAt: number, nonce = 'n', self = SELF): BoundKey {
  const parts = {owner: self.id, boot: self.boot, expiresAt, nonce};
  return parseKey(SECRET, mintKey(SECRET, parts))!;
}

test('a record is kept until its key can no longer start a run', t => {
  const table = createKeyTable();
  const key = makeKey(10_000);
  t.is(beginKey(table, key, SELF, 0).kind, 'start');
  finishKey(table, key, {kind: 'ran', status: 200});
  t.is(sweepKeys(table, 9_999), 0);
  t.is(sweepKeys(table, 10_000), 1);
  // The wall clock of the caller steps back, the clock of the table does not.
  const again = beginKey(table, key, SELF, 500);
  t.deepEqual(again, {kind: 'refused', outcome: 'keyExpired'});
});

test('a repeated request gets the recorded answer', async t => {
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
  // A drop after the run must not let the key start again.
  dropKey(table, key);
  t.is(beginKey(table, key, SELF, 3, 'f1').kind, 'recorded');
});

test('a dropped key can start again; foreign and far-future keys are refused', t => {
  const table = createKeyTable();
  const key = makeKey(10_000);
  beginKey(table, key, SELF, 0);
  dropKey(table, key);
  t.is(beginKey(table, key, SELF, 1).kind, 'start');
  const refuse = (outcome: string) => ({kind: 'refused', outcome});
  const restarted = {...SELF, boot: BOOTS[1]};
  t.deepEqual(beginKey(table, key, restarted, 0), refuse('keyOwnerGone'));
  const other = {...SELF, id: 'up-2'};
  t.deepEqual(beginKey(table, key, other, 0), refuse('keyOwnerGone'));
  t.deepEqual(beginKey(table, makeKey(660_002), SELF, 1), refuse('badKey'));
});

test('records and recorded answers are bounded', t => {
  const table = createKeyTable();
  for (let i = 0; i < MAX_KEYS; i++) {
    const key = makeKey(10_000, `n${i}`);
    beginKey(table, key, SELF, 0);
    if (i === 0) finishKey(table, key, {kind: 'ran', status: 200});
  }
  const extra = makeKey(20_000);
  const full = beginKey(table, extra, SELF, 1);
  t.deepEqual(full, {kind: 'refused', outcome: 'keyTableFull'});
  // Of the expired records, only the finished one may be removed.
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

test('a forged or damaged key is not accepted as a bound key', t => {
  const {text} = makeKey(10_000);
  t.truthy(parseKey(SECRET, text));
  t.is(parseKey('another shared key!', text), undefined);
  const damaged = fc.property(
    fc.nat(text.length - 1),
    fc.constantFrom('0', 'z', '~', '', ' '),
    (at, replacement) => {
      const changed = text.slice(0, at) + replacement + text.slice(at + 1);
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
