// Decides how many slots requests with time left leave free for urgent ones.
import type {RunTime} from './run_times.js';

/** Mean intervals between free slots within which a slot comes free in 95 of 100
 * cases. */
const SAFE_INTERVALS = 3;

/** Largest share of the slots that may be left free. */
const MAX_SHARE = 0.25;

/** Time constant of the rate of arrivals, ms. */
const RATE_MEMORY_MS = 4_000;

/** Rate below which a kind counts as gone, requests per second. */
const MIN_PER_S = 0.25;

/** Maximum number of kinds; the table is cleared when full. */
const MAX_KINDS = 512;

interface Arrivals {
  /** Arrivals of late, which are forgotten by and by. */
  count: number;
  updatedAt: number;
  /** Time that the latest one could wait and still meet its goal, ms. */
  slackMs: number;
}

/** Arrivals at one upstream by kind. */
export type ArrivalsByKind = Map<string, Arrivals>;

/** Records a request that can wait for `slackMs`. */
export function recordArrival(
  arrivals: ArrivalsByKind,
  kind: string,
  slackMs: number,
  now: number,
): void {
  const known = arrivals.get(kind);
  if (!known) {
    if (arrivals.size >= MAX_KINDS) arrivals.clear();
    arrivals.set(kind, {count: 1, updatedAt: now, slackMs});
    return;
  }
  known.count = readCount(known, now) + 1;
  known.updatedAt = now;
  known.slackMs = slackMs;
}

function readCount({count, updatedAt}: Arrivals, now: number): number {
  return count * Math.exp((updatedAt - now) / RATE_MEMORY_MS);
}

/**
 * Counts the slots that a request may not fill which holds one for `runMs` and can
 * wait for `slackMs`: those that more urgent kinds keep busy and could not get in
 * time if all slots were held for as long. 0 when no such kind arrives.
 */
export function countReserved(
  arrivals: ArrivalsByKind,
  predict: (kind: string) => RunTime,
  {runMs, slackMs}: {runMs: number; slackMs: number},
  slots: number,
  now: number,
): number {
  const safeMs = (SAFE_INTERVALS * runMs) / slots;
  if (slackMs <= safeMs) return 0;
  let busy = 0;
  for (const [kind, known] of arrivals) {
    const perS = (readCount(known, now) * 1_000) / RATE_MEMORY_MS;
    if (known.slackMs > safeMs || perS < MIN_PER_S) continue;
    busy += (perS * predict(kind).meanMs) / 1_000;
  }
  if (busy === 0) return 0;
  return Math.min(Math.ceil(busy), Math.floor(slots * MAX_SHARE));
}
