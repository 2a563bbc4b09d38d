// Decides how long a request is expected to wait for a slot, from what runs and
// what waits before it.
import type {RunTime} from './run_times.js';

/** Standard deviations between the mean and the predicted wait: 4 of 5 requests
 * wait for less. */
const QUANTILE_DEVIATIONS = 0.84;

/** Share of its mean that a run which has lasted longer is expected to last on. */
const OVERDUE_SHARE = 0.25;

/** A request that holds a slot. */
export interface RunningRequest extends RunTime {
  /** Monotonic time of its start, ms. */
  readonly startedAt: number;
}

/** Times until the slots are free, ms, ascending. */
export function listFreeTimes(
  running: readonly RunningRequest[],
  slots: number,
  now: number,
): number[] {
  const times: number[] = [];
  for (const {startedAt, meanMs} of running) {
    times.push(Math.max(meanMs - (now - startedAt), meanMs * OVERDUE_SHARE));
  }
  times.sort((a, b) => a - b);
  // As many runs end in a mean time as there are, so some end before their own.
  const totalMs = [...running].reduce((sum, {meanMs}) => sum + meanMs, 0);
  const intervalMs = totalMs / Math.max(1, times.length) ** 2;
  for (const [i, time] of times.entries()) {
    times[i] = Math.min(time, (i + 1) * intervalMs);
  }
  const free = Math.max(0, slots - times.length);
  // More requests may run than the upstream has slots by now.
  const busy = times.slice(Math.max(0, times.length - slots));
  return [...new Array<number>(free).fill(0), ...busy];
}

/** Gives the slot that is free first to a request; returns when that is, ms. */
export function takeFreeTime(freeTimes: number[], runMs: number): number {
  const startMs = freeTimes.shift() ?? 0;
  const endMs = startMs + runMs;
  let low = 0;
  let high = freeTimes.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (freeTimes[middle] <= endMs) low = middle + 1;
    else high = middle;
  }
  freeTimes.splice(low, 0, endMs);
  return startMs;
}

/** Time that a request waits behind others for one of the slots, ms: more than four
 * of five requests wait. */
export function predictSlotWaitMs(
  ahead: readonly RunTime[],
  running: readonly RunningRequest[],
  slots: number,
  now: number,
): number {
  if (ahead.length < slots - running.length) return 0;
  const freeTimes = listFreeTimes(running, slots, now);
  for (const {meanMs} of ahead) takeFreeTime(freeTimes, meanMs);
  // The slots share the deviations of all runs.
  const variance = [...ahead, ...running].reduce(
    (sum, run) => sum + run.variance,
    0,
  );
  const deviationMs = Math.sqrt(variance) / slots;
  return freeTimes[0] + QUANTILE_DEVIATIONS * deviationMs;
}
