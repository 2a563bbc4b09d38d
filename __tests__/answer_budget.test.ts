import test from 'ava';
import {
  type DropCause,
  type WaitingAnswer,
  addWaiting,
  chargeAnswer,
  createAnswerBudget,
  hasAnswerRoom,
  recordAnswerBytes,
  removeWaiting,
} from '../src/sidecar/answer_budget.js';

/** Limit of the budget, bytes; new requests may use 800. */
const LIMIT_BYTES = 1_000;

function createFixture() {
  const clock = {now: 0};
  const drops: Array<[DropCause, number]> = [];
  const shortages: boolean[] = [];
  const budget = createAnswerBudget(LIMIT_BYTES, () => clock.now, {
    onDrop: (cause, bytes) => drops.push([cause, bytes]),
    onShortage: ({isShort}) => shortages.push(isShort),
  });
  const wait = (size: number, fields: Partial<WaitingAnswer> = {}) => {
    const answer: WaitingAnswer = {
      size,
      deadlineAt: 1_000,
      openWrites: 1,
      progressAt: 0,
      drop: () => {
        removeWaiting(budget, answer);
        budget.usedBytes -= size;
      },
      ...fields,
    };
    budget.usedBytes += size;
    addWaiting(budget, answer);
    return answer;
  };
  const receive = (size: number) => {
    const answer = {
      size,
      drop: () => {
        budget.answers.delete(answer);
        budget.usedBytes -= answer.size;
      },
    };
    chargeAnswer(budget, answer, size);
    return answer;
  };
  return {clock, budget, drops, shortages, wait, receive};
}

const KEPT: Record<string, Partial<WaitingAnswer>> = {
  'before its deadline': {deadlineAt: 60_000},
  'whose receiver still reads': {progressAt: 9_000},
  'of which the kernel has taken all so far': {openWrites: 0},
};

for (const [kind, fields] of Object.entries(KEPT)) {
  test(`an answer ${kind} is not dropped`, t => {
    const {clock, budget, drops, wait, receive} = createFixture();
    wait(900, fields);
    clock.now = 10_000;
    t.false(hasAnswerRoom(budget, 'r'));
    receive(200);
    t.deepEqual(drops, [['largest', 200]]);
    t.is(budget.waitingBytes, 900);
  });
}

test('the oldest stalled answers are dropped, and no more than needed', t => {
  const {clock, budget, drops, shortages, wait} = createFixture();
  for (const size of [301, 302, 303]) wait(size);
  t.false(hasAnswerRoom(budget, 'r'));
  clock.now = 10_000;
  t.true(hasAnswerRoom(budget, 'r'));
  t.deepEqual(drops, [['stalled', 301]]);
  t.is(budget.usedBytes, 605);
  t.deepEqual(shortages, [true]);
  clock.now = 20_000;
  recordAnswerBytes(budget, 'large', 490);
  t.true(hasAnswerRoom(budget, 'large'));
  t.deepEqual(drops.slice(1), [['stalled', 302]]);
  t.deepEqual(shortages, [true, false]);
});

// Requests that were sent at once found room for one answer each.
test('memory is set aside for the answers of calls in progress', t => {
  const {budget} = createFixture();
  recordAnswerBytes(budget, 'r', 300);
  budget.expectedBytes = 300;
  t.true(hasAnswerRoom(budget, 'r'));
  budget.expectedBytes = 600;
  t.false(hasAnswerRoom(budget, 'r'));
});

// A route whose answers are larger than the share of new requests was never
// served.
test('an idle daemon takes a request whatever its answers took', t => {
  const {budget} = createFixture();
  recordAnswerBytes(budget, 'r', 5_000);
  t.true(hasAnswerRoom(budget, 'r'));
});

// With answers of half the limit, a call that was refused said at the same time
// that the shortage had ended.
test('a shortage lasts as long as requests are refused', t => {
  const {budget, shortages} = createFixture();
  recordAnswerBytes(budget, 'large', 500);
  budget.usedBytes = 400;
  for (let i = 0; i < 4; i++) t.false(hasAnswerRoom(budget, 'large'));
  budget.usedBytes = 300;
  t.true(hasAnswerRoom(budget, 'large'));
  t.deepEqual(shortages, [true, false]);
});
