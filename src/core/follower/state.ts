import {computeBackoff} from '../../utils/backoff.js';
import type {KeyChange} from '../store_mirror.js';
import type {FollowerDeps} from './deps.js';

interface Avoided {
  readonly until: number;
  readonly attempts: number;
}

/** State of one follower, shared by its parts. */
export interface FollowerState {
  readonly deps: FollowerDeps;
  stopped: boolean;
  /** True when all keys must be read. */
  needsFullRead: boolean;
  /** True when other daemons must be asked for all items. */
  needsAllItems: boolean;
  /** Era of the changes that were handled last. */
  era: number;
  /** True once the store was found in a later era, until all items are known. */
  knowsLaterEra: boolean;
  /** Failed calls to the store since its last answer. */
  failedCalls: number;
  /** Monotonic time of the first of them, ms. */
  failingSince: number;
  /** True from a failed call to the store until the copy is fresh again. */
  stale: boolean;
  /** Monotonic time at which the copy was last known to match the store by a fresh
   * answer, ms. */
  confirmedAt: number;
  /** Monotonic time at which the copy last matched the store, however old it was
   * when it was adopted, ms; undefined without a copy. */
  matchedAt: number | undefined;
  /** True when the faults since then show that the store is unavailable; one cut
   * connection does not. */
  unavailable: boolean;
  /** True when the load of this daemon does not explain those faults. */
  lost: boolean;
  /** True after a pause, which shortens the next watch. */
  paused: boolean;
  source: string;
  readonly avoided: Map<string, Avoided>;
}

/** True while a daemon, or the store for the own address, is not to be asked. */
export function isAvoided(state: FollowerState, address: string): boolean {
  return readAvoidedMs(state, address) > 0;
}

/** Time until a source may be asked again, ms; 0 or less when it may be now. */
export function readAvoidedMs(
  {avoided, deps}: FollowerState,
  address: string,
): number {
  return (avoided.get(address)?.until ?? -Infinity) - deps.now();
}

/** Delays the next call to a source by a growing backoff, which counts from `since`,
 * monotonic ms. */
export function avoid(
  state: FollowerState,
  address: string,
  {shortest, longest}: {shortest: number; longest: number},
  since = state.deps.now(),
): void {
  const {avoided, deps} = state;
  const attempts = avoided.get(address)?.attempts ?? 0;
  const ms =
    shortest +
    computeBackoff(attempts, shortest, longest - shortest, deps.random);
  // Leaves time to ask others: they know whether the store fails them too.
  const until = Math.max(since + ms, deps.now() + shortest);
  avoided.set(address, {until, attempts: attempts + 1});
}

/** Records that the copy was known to match the store at `matchedAt`, and that a
 * source answers. */
export function markFresh(state: FollowerState, matchedAt: number): void {
  const {deps} = state;
  const outageMs = readOutage(state);
  state.confirmedAt = Math.max(state.confirmedAt, matchedAt);
  markMatched(state, matchedAt);
  state.unavailable = false;
  state.lost = false;
  if (!state.stale) return;
  state.stale = false;
  deps.onRegained(outageMs);
}

/** Records the same for an answer that is too old to count as fresh. */
export function markMatched(state: FollowerState, matchedAt: number): void {
  state.matchedAt = Math.max(state.matchedAt ?? matchedAt, matchedAt);
}

/** Time for which the store has been unavailable since the copy matched it, ms;
 * 0 without a copy. */
export function readOutage(state: FollowerState): number {
  const {deps, matchedAt, unavailable} = state;
  return unavailable && matchedAt !== undefined ? deps.now() - matchedAt : 0;
}

/** Hands on the changes of one answer. */
export function handleChanges(
  state: FollowerState,
  changes: KeyChange[],
): void {
  const {mirror, onChanges} = state.deps;
  const {era, replaced} = mirror;
  const isLater = era !== state.era;
  state.era = era;
  if (isLater) state.knowsLaterEra = false;
  onChanges(changes, isLater ? replaced : undefined);
}
