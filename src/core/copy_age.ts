import type {Outcome} from '../types/verdict.js';

/**
 * Age of the copy of the store up to which requests are served, ms. Changes
 * must be in force 2 s after the store has accepted them.
 */
export const MAX_COPY_AGE_MS = 1_700;

/** Time for which a message of another daemon shows a working network, ms. */
const CONTACT_MS = 1_000;

/** Lag of the event loop from which this daemon counts as overloaded, ms. */
export const OVERLOAD_LAG_MS = 250;

/** What a daemon knows of the age of its copy of the store. */
export interface CopyStatus {
  /** Time since the copy was last known to match the store, ms. */
  readonly ageMs: number;
  /** Time since another daemon last said that the store fails it, ms. */
  readonly outageToldAgoMs: number;
  /** Time since any message of another daemon, ms. */
  readonly heardAgoMs: number;
  /** Lag of the event loop, ms. */
  readonly lagMs: number;
}

/**
 * True when this daemon may miss updates that others have, because it or those
 * that it asks are too busy. A daemon that is cut off from all others, or that is
 * told of an outage of the store, is not overdue and serves on. An old copy of
 * another daemon alone is no sign of an outage.
 */
export function isCopyOverdue(status: CopyStatus): boolean {
  const {ageMs, outageToldAgoMs, heardAgoMs, lagMs} = status;
  if (Math.min(ageMs, outageToldAgoMs) <= MAX_COPY_AGE_MS) return false;
  return heardAgoMs <= CONTACT_MS || lagMs >= OVERLOAD_LAG_MS;
}

/** State of a copy: `old` when requests are served by it though it may miss
 * updates, `overdue` when they are refused. */
export type CopyState = 'current' | 'old' | 'overdue';

/** Classifies a copy; one that was never read counts as current. */
export function classifyCopy(status: CopyStatus): CopyState {
  if (isCopyOverdue(status)) return 'overdue';
  const {ageMs} = status;
  return ageMs > MAX_COPY_AGE_MS && ageMs < Infinity ? 'old' : 'current';
}

/**
 * Outcome of a request that the copy of the configuration does not allow, where
 * `outcome` is final for most customers, as 401, 404 and 413 are. A later version
 * than that of an old copy may allow it, so that copy may only tell the customer
 * to come again.
 */
export function refuseByCopy(
  outcome: Outcome,
  copyAgeMs: number,
  maxAgeMs: number = MAX_COPY_AGE_MS,
): Outcome {
  return copyAgeMs <= maxAgeMs ? outcome : 'staleView';
}
