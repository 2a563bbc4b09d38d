// How long the own upstream is still busy with what runs and waits.
import {
  type Distribution,
  addTime,
  createDistribution,
  getMeanMs,
  getRemainingMs,
} from './distribution.js';
import {type SpeedTracker, createSpeedTracker, getSpeed} from './speed.js';

/** Maximum number of kinds whose times are known; all are forgotten beyond. */
const MAX_KINDS = 256;

/** Slots up to which the queue is laid over them one by one; beyond, over their
 * mean. */
const MAX_EXACT_SLOTS = 64;

interface Run {
  readonly kind: string;
  readonly startedAt: number;
}

/** What runs at the own upstream. */
export interface RunLedger {
  readonly runs: Set<Run>;
  /** Time in the slot at speed 1, by kind. */
  readonly times: Map<string, Distribution>;
  readonly speed: SpeedTracker;
}

/** Work left at an upstream. */
export interface WorkLeft {
  /** Expected time of its slots until all that runs and waits has ended, ms. */
  readonly leftMs: number;
  /** Expected time until a slot is free for one more request, ms. */
  readonly waitMs: number;
}

/** Creates a ledger without runs. */
export function createRunLedger(): RunLedger {
  return {runs: new Set(), times: new Map(), speed: createSpeedTracker()};
}

/** Records a start; call the result when the run has ended. */
export function startRun(
  {runs}: RunLedger,
  kind: string,
  now: number,
): () => void {
  const run = {kind, startedAt: now};
  runs.add(run);
  return () => runs.delete(run);
}

/** Records the time in the slot of a request that was answered, ms. */
export function recordRunTime(
  {times, speed}: RunLedger,
  kind: string,
  slotMs: number,
): void {
  let known = times.get(kind);
  if (!known) {
    if (times.size >= MAX_KINDS) times.clear();
    known = createDistribution();
    times.set(kind, known);
  }
  addTime(known, slotMs * getSpeed(speed));
}

/**
 * Expected work left. `queued` names the kinds that wait, first come first;
 * `meanMs` is the time of a kind without an answer yet.
 */
export function computeWorkLeft(
  {runs, times, speed}: RunLedger,
  queued: readonly string[],
  slots: number,
  meanMs: number,
  now: number,
): WorkLeft {
  const pace = 1 / getSpeed(speed);
  const ends: number[] = [];
  let leftMs = 0;
  for (const {kind, startedAt} of runs) {
    const known = times.get(kind);
    const elapsedMs = now - startedAt;
    const remainingMs = known
      ? getRemainingMs(known, elapsedMs / pace) * pace
      : Math.max(meanMs - elapsedMs, meanMs / 2);
    ends.push(remainingMs);
    leftMs += remainingMs;
  }
  const waits = queued.map(kind => {
    const known = times.get(kind);
    return known ? (getMeanMs(known) ?? 0) * pace : meanMs;
  });
  for (const ms of waits) leftMs += ms;
  if (ends.length + waits.length < slots) return {leftMs, waitMs: 0};
  if (slots > MAX_EXACT_SLOTS) return {leftMs, waitMs: leftMs / slots};
  return {leftMs, waitMs: layQueue(ends, waits, slots)};
}

/** Time until a slot is free behind all that waits, ms. */
function layQueue(
  ends: number[],
  waits: readonly number[],
  slots: number,
): number {
  // More may run than there are slots while their number goes down.
  ends.sort((a, b) => a - b).splice(0, ends.length - slots);
  while (ends.length < slots) ends.unshift(0);
  for (const ms of waits) {
    const end = (ends.shift() ?? 0) + ms;
    let i = ends.length;
    while (i > 0 && ends[i - 1] > end) i--;
    ends.splice(i, 0, end);
  }
  return ends[0] ?? 0;
}
