import test from 'ava';
import fc from 'fast-check';
import {
  MAX_DEPTH,
  OUTCOMES,
  RETRY_BUDGET,
  combineOutcomes,
  computeTimeout,
  shouldRetry,
  resolveBoundKeyOutcome,
  parseBudget,
  parseDepth,
  type Outcome,
} from '../src/internal.js';

const ALL = Object.keys(OUTCOMES) as Outcome[];
const CONTEXT = {budget: 2, attempts: 1, remainingMs: 1_000};

test('only a request that did not run, or may run twice, is sent again', t => {
  for (const outcome of ALL) {
    const retry = shouldRetry({...CONTEXT, outcome, idempotent: false});
    if (retry) t.is(OUTCOMES[outcome].verdict, 'notRun', outcome);
  }
  const retried = (idempotent: boolean) =>
    ALL.filter(outcome => shouldRetry({...CONTEXT, outcome, idempotent}));
  t.snapshot({booking: retried(false), read: retried(true)});
});

test('no retry without budget, without time, or after too many attempts', t => {
  const context = {...CONTEXT, outcome: 'full', idempotent: true} as const;
  t.true(shouldRetry(context));
  t.false(shouldRetry({...context, budget: 0}));
  t.false(shouldRetry({...context, remainingMs: 4}));
  t.false(shouldRetry({...context, attempts: 3}));
});

test('a request that crashed an upstream is retried once at most', t => {
  const context = {
    ...CONTEXT,
    outcome: 'upstreamCrashed',
    idempotent: true,
  } as const;
  t.true(shouldRetry({...context, crashes: 1}));
  t.false(shouldRetry({...context, crashes: 2}));
  t.false(shouldRetry({...context, crashes: 1, suspect: true}));
  t.false(
    shouldRetry({...context, outcome: 'connectionBroken', suspect: true}),
  );
  t.true(shouldRetry({...context, outcome: 'full', suspect: true}));
});

/** Runs of the last hop when every attempt of every hop fails. */
function countRuns(hops: number, budget: number): number {
  if (hops === 0) return 1;
  let runs = 0;
  let left = budget;
  for (let attempts = 1; ; attempts++) {
    runs += countRuns(hops - 1, parseBudget(String(left)) ?? 0);
    const context = {
      ...CONTEXT,
      outcome: 'connectionBroken',
      attempts,
    } as const;
    if (!shouldRetry({...context, idempotent: true, budget: left})) return runs;
    left--;
  }
}

test('retries do not multiply over six hops', t => {
  // All ways to spend two shared retries on six hops; three retries at each
  // hop would cause 4^6 = 4,096 runs.
  t.is(countRuns(MAX_DEPTH, RETRY_BUDGET), 28);
  t.is(countRuns(MAX_DEPTH, 0), 1);
});

test('a caller cannot raise the budget, the depth or the deadline', t => {
  t.is(parseBudget(undefined), RETRY_BUDGET);
  t.is(parseBudget('999'), RETRY_BUDGET);
  t.is(parseBudget('0'), 0);
  t.is(computeTimeout(500, '90000'), 500);
  t.is(computeTimeout(500, '20'), 20);
  t.is(parseDepth(undefined), 1);
  for (const bad of ['', '-1', '1.5', 'x', '1, 2', '1e3', '9999999999']) {
    t.is(parseBudget(bad), undefined, bad);
    t.is(parseDepth(bad), undefined, bad);
    t.is(computeTimeout(500, bad), undefined, bad);
  }
});

test('a refusal after an attempt that may have run is not reported as not run', t => {
  const outcomes = fc.array(fc.constantFrom(...ALL), {minLength: 1});
  fc.assert(
    fc.property(outcomes, series => {
      const reported = series.reduce<Outcome | undefined>(
        combineOutcomes,
        undefined,
      );
      if (reported === undefined) return false;
      const allNotRun = series.every(o => OUTCOMES[o].verdict === 'notRun');
      return (OUTCOMES[reported].verdict === 'notRun') === allNotRun;
    }),
    {seed: 21, numRuns: 200},
  );
  t.pass();
});

test('a bound key without a reply of its owner is never reported as not run', t => {
  for (const outcome of ALL) {
    const reported = resolveBoundKeyOutcome(outcome);
    t.not(OUTCOMES[reported].verdict, 'notRun', outcome);
  }
});
