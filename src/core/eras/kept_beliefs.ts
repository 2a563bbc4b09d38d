import type {ListedUpstream, UpstreamList} from '../upstream_list.js';

/** Time for which an upstream is remembered once it is gone, ms: longer than a
 * copy that the store comes back with is old. */
const GONE_MEMORY_MS = 60_000;

/** Intervals between heartbeats after which the store removes an entry that nobody
 * renews. */
const LEASE_HEARTBEATS = 3;

/** An upstream that was removed from the list. */
export interface GoneUpstream {
  readonly startedAt: number;
  /** True when it had announced its stop. */
  readonly wasLeaving: boolean;
  /** Monotonic time of its removal, ms. */
  readonly goneAt: number;
}

/**
 * What is believed beyond what the list holds, because the store may come back
 * from an older copy. Such a copy lacks late entries, whose writers may be about
 * to write them again, and holds entries that were removed since.
 */
export interface KeptBeliefs {
  /** Upstreams that are gone, by id, oldest first. */
  readonly gone: Map<string, GoneUpstream>;
  /** Monotonic time up to which the writers may write again, ms. */
  until: number;
  /** Times up to which data centres stay taken out whose keys are missing, by
   * name; monotonic, ms. */
  readonly takenOutUntil: Map<string, number>;
}

/** Creates beliefs that keep nothing. */
export function createKeptBeliefs(): KeptBeliefs {
  return {gone: new Map(), until: -Infinity, takenOutUntil: new Map()};
}

/** Records that an upstream was removed from the list. */
export function rememberGone(
  {gone}: KeptBeliefs,
  {id, startedAt, state, held}: ListedUpstream,
  now: number,
): void {
  const wasLeaving = state === 'leaving' && !held;
  gone.delete(id);
  gone.set(id, {startedAt, wasLeaving, goneAt: now});
  for (const [oldest, {goneAt}] of gone) {
    if (now - goneAt <= GONE_MEMORY_MS) break;
    gone.delete(oldest);
  }
}

/** Begins to keep what is believed now for `graceMs`, before a copy of a later era
 * is applied. What is kept already is kept from now on again. */
export function keepBeliefs(
  list: UpstreamList,
  graceMs: number,
  now: number,
): void {
  const {kept, byId} = list;
  const until = now + graceMs;
  kept.until = until;
  list.keepMissingUntil = Math.max(list.keepMissingUntil, until);
  for (const name of kept.takenOutUntil.keys()) {
    kept.takenOutUntil.set(name, until);
  }
  for (const entry of byId.values()) {
    if (entry.expiresAt !== undefined) entry.expiresAt = until;
  }
}

/** Removes an entry of an upstream that is listed again from memory. */
export function forgetGone({gone}: KeptBeliefs, id: string): void {
  gone.delete(id);
}

/** Time until which an incarnation is cold: the later one of those that are known
 * while a copy of an earlier time may have been read. */
export function chooseColdUntil(
  {until}: KeptBeliefs,
  known: ListedUpstream | undefined,
  {startedAt}: {readonly startedAt: number},
  coldUntil: number,
  now: number,
): number {
  if (now >= until || known?.startedAt !== startedAt) return coldUntil;
  return Math.max(known.coldUntil, coldUntil);
}

/**
 * Holds back upstreams that were known to be gone and are in a copy of a later era
 * again: they count as leaving until the store would have removed the entry of one
 * that does not renew it. `gone` are those that were gone before. Returns the
 * number of those held.
 */
export function holdBackGone(
  list: UpstreamList,
  gone: ReadonlyMap<string, GoneUpstream>,
  {heartbeatMs, graceMs}: {heartbeatMs: number; graceMs: number},
  now: number,
): number {
  const heldUntil = now + LEASE_HEARTBEATS * heartbeatMs + graceMs;
  let count = 0;
  for (const [id, upstream] of gone) {
    const entry = list.byId.get(id);
    if (entry?.startedAt !== upstream.startedAt) continue;
    const listedState = entry.held?.listedState ?? entry.state;
    entry.state = 'leaving';
    entry.held = {until: heldUntil, listedState};
    list.kept.gone.set(id, upstream);
    count++;
  }
  return count;
}

/** Beliefs whose time has passed. */
export interface ReleasedBeliefs {
  /** Ids of upstreams that are listed as the store says from now on. */
  readonly upstreams: string[];
  /** Names of data centres that are no longer taken out. */
  readonly dataCentres: string[];
}

/** Gives up what was kept long enough. */
export function releaseBeliefs(
  {kept, byId, takenOut}: UpstreamList,
  now: number,
): ReleasedBeliefs {
  const upstreams: string[] = [];
  const dataCentres: string[] = [];
  for (const entry of byId.values()) {
    if (!entry.held || now < entry.held.until) continue;
    entry.state = entry.held.listedState;
    entry.held = undefined;
    kept.gone.delete(entry.id);
    upstreams.push(entry.id);
  }
  for (const [name, until] of kept.takenOutUntil) {
    if (now < until) continue;
    kept.takenOutUntil.delete(name);
    takenOut.delete(name);
    dataCentres.push(name);
  }
  return {upstreams, dataCentres};
}

/** Sets whether a data centre is taken out. One whose key is missing shortly after
 * a copy of a later era stays out for `graceMs`. Returns true on a change. */
export function setTakenOut(
  {kept, takenOut}: UpstreamList,
  name: string,
  isOut: boolean,
  graceMs: number,
  now: number,
): boolean {
  if (isOut) kept.takenOutUntil.delete(name);
  if (takenOut.has(name) === isOut) return false;
  if (isOut) takenOut.add(name);
  else if (now < kept.until) {
    kept.takenOutUntil.set(name, now + graceMs);
    return false;
  } else takenOut.delete(name);
  return true;
}
