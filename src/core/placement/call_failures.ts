// Decides how many requests of a kind an upstream gets while the calls that they
// make are refused elsewhere: a run whose call was refused is lost, and so is the
// work of its other calls.

/** Time from a refused call to the failed answer of the run that made it, ms, at
 * most. */
const CAUSE_MS = 30;

/** Runs for each one that ends well which are let in: the others show when the calls
 * are served again. */
const RUNS_PER_SUCCESS = 1.5;

/** Time constant with which runs are forgotten, ms. */
const MEMORY_MS = 1_500;

/** Maximum number of kinds; the table is cleared when full. */
const MAX_KINDS = 512;

interface Runs {
  ended: number;
  succeeded: number;
  updatedAt: number;
}

/** Ends of the runs of the local upstream, by kind of request. */
export interface CallFailures {
  readonly byKind: Map<string, Runs>;
  /** Monotonic time at which a request that entered here was last refused, ms. */
  refusedAt: number;
}

/** Creates an empty state. */
export function createCallFailures(): CallFailures {
  return {byKind: new Map(), refusedAt: -Infinity};
}

/** Records that a request which entered here, as the calls of the local upstream do,
 * was refused. */
export function recordRefusedCall(failures: CallFailures, now: number): void {
  failures.refusedAt = now;
}

/** Records the end of a run; a failure without a refused call just before it counts
 * as a success, since fewer runs would not prevent it. */
export function recordRunEnd(
  failures: CallFailures,
  kind: string,
  hasFailed: boolean,
  now: number,
): void {
  const {byKind, refusedAt} = failures;
  if (byKind.size >= MAX_KINDS) byKind.clear();
  const runs = byKind.get(kind) ?? {ended: 0, succeeded: 0, updatedAt: now};
  byKind.set(kind, runs);
  const kept = Math.exp((runs.updatedAt - now) / MEMORY_MS);
  const isByCall = hasFailed && now - refusedAt <= CAUSE_MS;
  runs.ended = runs.ended * kept + 1;
  runs.succeeded = runs.succeeded * kept + (isByCall ? 0 : 1);
  runs.updatedAt = now;
}

/** Share of the requests of a kind to refuse, 0 to 1. */
export function computeShedShare(
  {byKind}: CallFailures,
  kind: string,
  now: number,
): number {
  const runs = byKind.get(kind);
  if (!runs) return 0;
  const kept = Math.exp((runs.updatedAt - now) / MEMORY_MS);
  const surplus = runs.ended - RUNS_PER_SUCCESS * runs.succeeded;
  return Math.max(0, (surplus * kept) / (runs.ended * kept + 1));
}
