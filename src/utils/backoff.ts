import type {Random} from './random.js';

/** Delay before retry `attempt` (from 0), ms: full jitter, doubling, capped. */
export function computeBackoff(
  attempt: number,
  baseMs: number,
  capMs: number,
  random: Random,
): number {
  const ceiling = Math.min(capMs, baseMs * 2 ** Math.min(attempt, 30));
  return random() * ceiling;
}
