import type {Random} from './random.js';

/** Capped exponential backoff with full jitter, ms; `attempt` starts at 0. */
export function computeBackoff(
  attempt: number,
  baseMs: number,
  capMs: number,
  random: Random,
): number {
  const ceiling = Math.min(capMs, baseMs * 2 ** Math.min(attempt, 30));
  return random() * ceiling;
}
