// Decides what time in a slot is expected of a request, and how far it may be off.

/** Smoothing factor of means and variances. */
const GAIN = 0.1;

/** Standard deviation assumed of a kind that was not seen yet, relative to its
 * mean. */
const UNKNOWN_SPREAD = 0.5;

/** Maximum number of kinds; the table is cleared when full. */
const MAX_KINDS = 512;

/** Expected time in a slot. */
export interface RunTime {
  readonly meanMs: number;
  /** Variance, ms². */
  readonly variance: number;
}

/** Times in a slot by kind of request. */
export type RunTimes = Map<string, RunTime>;

/** Expected time of a kind; one that was not seen counts as taking `fallbackMs`. */
export function predictRun(
  times: RunTimes,
  kind: string,
  fallbackMs: number,
): RunTime {
  const variance = (fallbackMs * UNKNOWN_SPREAD) ** 2;
  return times.get(kind) ?? {meanMs: fallbackMs, variance};
}

/** Records the time of an answered request. */
export function recordRun(times: RunTimes, kind: string, ms: number): void {
  const known = times.get(kind);
  if (!known) {
    if (times.size >= MAX_KINDS) times.clear();
    times.set(kind, {meanMs: ms, variance: (ms * UNKNOWN_SPREAD) ** 2});
    return;
  }
  const difference = ms - known.meanMs;
  times.set(kind, {
    meanMs: known.meanMs + GAIN * difference,
    variance: (1 - GAIN) * (known.variance + GAIN * difference ** 2),
  });
}
