/** Concurrency limit of an upstream that has just started or turned cold. */
export const COLD_LIMIT = 1;

/** Factor applied to the limit on a shed, a timeout or a slow answer. */
export const SHRINK_FACTOR = 0.7;

/** An answer is slow above this multiple of the baseline. */
export const SLOW_FACTOR = 3;

/** Consecutive faults after which the upstream counts as cold. */
export const COLD_AFTER = 3;

/** Latency up to which no answer is slow, ms: scheduling jitter reaches it. */
export const SLOW_FLOOR_MS = 10;

/** Good answers after which an upstream with little load counts as warm. */
export const WARM_ANSWERS = 20;

// Slow answers move the baseline ten times less than others. A cold phase then
// stays recognisable for about 50 answers, while an `expectedMs` that is set
// too low is still corrected after about 100.
const BASELINE_GAIN = 0.05;
const SLOW_GAIN = 0.005;
const MAX_BASELINES = 256;

/**
 * Good answers after a fault before the limit may rise again. Without the pause
 * a limit that has just reached the capacity of the upstream exceeds it at once,
 * and a cold upstream is overloaded repeatedly.
 */
export const HOLD_ANSWERS = 20;

/** Adaptive concurrency limit of one upstream, in requests. */
export interface Limit {
  /** Hard limit: the smaller of slots and connections. */
  ceiling: number;
  /** Integer from `COLD_LIMIT` to `ceiling`. */
  value: number;
  /** Good answers since the last increase. */
  successes: number;
  faultsInRow: number;
  /** Good answers left before the limit may rise. */
  hold: number;
  /** Good answers since the last cold start. */
  answers: number;
  /** Number of cold starts; results of requests from earlier ones are ignored. */
  epoch: number;
  /** Initial baseline of a kind of request, ms. */
  expectedMs: number;
  /** Mean time to the response headers by kind of request, ms. */
  readonly baselines: Map<string, number>;
}

/** Creates the limit of an upstream that has just started. */
export function createLimit(ceiling: number, expectedMs: number): Limit {
  return {
    ceiling,
    value: COLD_LIMIT,
    successes: 0,
    faultsInRow: 0,
    hold: 0,
    answers: 0,
    epoch: 0,
    expectedMs,
    baselines: new Map(),
  };
}

/** Changes the hard limit; this never raises the current limit. */
export function setCeiling(limit: Limit, ceiling: number): void {
  limit.ceiling = ceiling;
  limit.value = Math.min(limit.value, ceiling);
}

/** Resets the limit to `COLD_LIMIT`; baselines are kept. */
export function resetToCold(limit: Limit): void {
  limit.value = COLD_LIMIT;
  limit.successes = 0;
  limit.faultsInRow = 0;
  limit.answers = 0;
  limit.epoch++;
}

/** True until half of the ceiling or `WARM_ANSWERS` has been reached. */
export function isLimitCold(limit: Limit): boolean {
  return limit.value * 2 < limit.ceiling && limit.answers < WARM_ANSWERS;
}

/** Checks whether a time to the headers, or without an answer, is slow. */
export function isSlow(limit: Limit, kind: string, ms: number): boolean {
  const baseline = limit.baselines.get(kind) ?? limit.expectedMs;
  return ms > Math.max(SLOW_FLOOR_MS, SLOW_FACTOR * baseline);
}

/** Records an answer with its time to the headers, ms. */
export function recordAnswer(
  limit: Limit,
  kind: string,
  ms: number,
  inFlight: number,
): void {
  const slow = isSlow(limit, kind, ms);
  updateBaseline(limit, kind, ms, slow);
  if (slow) recordFault(limit);
  else recordSuccess(limit, inFlight);
}

/** Records a shed, a timeout or a broken connection. */
export function recordFault(limit: Limit): void {
  limit.successes = 0;
  limit.faultsInRow++;
  limit.hold = HOLD_ANSWERS;
  if (limit.faultsInRow >= COLD_AFTER) {
    resetToCold(limit);
    return;
  }
  const shrunk = Math.floor(limit.value * SHRINK_FACTOR);
  limit.value = Math.max(COLD_LIMIT, shrunk);
}

function recordSuccess(limit: Limit, inFlight: number): void {
  limit.faultsInRow = 0;
  limit.answers++;
  if (limit.hold > 0) {
    limit.hold--;
    return;
  }
  // Answers at low utilisation do not show that a higher limit is safe.
  if (inFlight * 2 < limit.value) return;
  limit.successes++;
  if (limit.successes < limit.value) return;
  limit.successes = 0;
  limit.value = Math.min(limit.ceiling, limit.value + 1);
}

function updateBaseline(
  limit: Limit,
  kind: string,
  ms: number,
  slow: boolean,
): void {
  const known = limit.baselines.get(kind);
  if (known === undefined && limit.baselines.size >= MAX_BASELINES) return;
  const baseline = known ?? limit.expectedMs;
  const sample = Math.min(ms, SLOW_FACTOR * baseline);
  const gain = slow ? SLOW_GAIN : BASELINE_GAIN;
  limit.baselines.set(kind, baseline + gain * (sample - baseline));
}
