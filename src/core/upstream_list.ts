import type {MeshUpstream} from '../types/mesh.js';

/**
 * Time for which an entry that disappears around an outage of the list is
 * kept, ms. The platform restores entries of live upstreams within about 2 s of
 * its recovery; an entry that is still missing then is removed.
 */
export const EXPIRY_GRACE_MS = 2_200;

/** One listed upstream. */
export interface ListedUpstream extends MeshUpstream {
  /** Monotonic time up to which the upstream is cold, ms. */
  coldUntil: number;
  /** Monotonic time at which a missing entry is removed, ms. */
  expiresAt?: number;
}

/** Known upstreams, and the data centres that are taken out. */
export interface UpstreamList {
  readonly byId: Map<string, ListedUpstream>;
  byService: ReadonlyMap<string, readonly ListedUpstream[]>;
  /** Most recently started upstream at each address (host:port). */
  byAddress: ReadonlyMap<string, ListedUpstream>;
  readonly takenOut: Set<string>;
  /** True once the full list has been read. */
  complete: boolean;
  /** Monotonic time up to which missing entries are kept, ms. */
  keepMissingUntil: number;
}

/** Creates an empty list. */
export function createUpstreamList(): UpstreamList {
  return {
    byId: new Map(),
    byService: new Map(),
    byAddress: new Map(),
    takenOut: new Set(),
    complete: false,
    keepMissingUntil: -Infinity,
  };
}

/** Adds or updates an entry; returns true when the upstream changed. */
export function putUpstream(
  list: UpstreamList,
  record: MeshUpstream,
  now: number,
): boolean {
  const known = list.byId.get(record.id);
  // An earlier start time than the known one comes from a delayed write.
  if (known && record.startedAt < known.startedAt) return false;
  const coldUntil = now + record.coldMs;
  list.byId.set(record.id, {...record, coldUntil});
  dropPredecessors(list, record);
  indexList(list);
  return (
    !known ||
    known.state !== record.state ||
    known.startedAt !== record.startedAt ||
    known.expiresAt !== undefined
  );
}

/** Removes earlier upstreams at the address, which serves one at a time. */
function dropPredecessors(list: UpstreamList, record: MeshUpstream): void {
  for (const other of list.byId.values()) {
    if (other.id === record.id || other.startedAt >= record.startedAt) continue;
    if (other.host === record.host && other.port === record.port) {
      list.byId.delete(other.id);
    }
  }
}

/**
 * Removes a deleted entry, or keeps it for the grace period after an outage.
 * Returns true when it was removed.
 */
export function removeUpstream(
  list: UpstreamList,
  id: string,
  now: number,
): boolean {
  const known = list.byId.get(id);
  if (!known || known.expiresAt !== undefined) return false;
  if (known.state === 'live' && now < list.keepMissingUntil) {
    known.expiresAt = list.keepMissingUntil;
    return false;
  }
  list.byId.delete(id);
  indexList(list);
  return true;
}

/** Records an outage of the list; extends the grace period of its entries. */
export function recordListFault(list: UpstreamList, now: number): void {
  list.keepMissingUntil = Math.max(
    list.keepMissingUntil,
    now + EXPIRY_GRACE_MS,
  );
}

/** Removes entries whose grace period has ended; returns their ids. */
export function expireUpstreams(list: UpstreamList, now: number): string[] {
  const expired: string[] = [];
  for (const {id, expiresAt} of list.byId.values()) {
    if (expiresAt !== undefined && now >= expiresAt) expired.push(id);
  }
  for (const id of expired) list.byId.delete(id);
  if (expired.length > 0) indexList(list);
  return expired;
}

function indexList(list: UpstreamList): void {
  const byService = new Map<string, ListedUpstream[]>();
  const byAddress = new Map<string, ListedUpstream>();
  for (const upstream of list.byId.values()) {
    const group = byService.get(upstream.service);
    if (group) group.push(upstream);
    else byService.set(upstream.service, [upstream]);
    const address = `${upstream.host}:${upstream.port}`;
    const other = byAddress.get(address);
    if (!other || upstream.startedAt > other.startedAt) {
      byAddress.set(address, upstream);
    }
  }
  list.byService = byService;
  list.byAddress = byAddress;
}

/** Lists the hosts of all upstreams; each runs a daemon. */
export function listHosts({byId}: UpstreamList): string[] {
  return [...new Set([...byId.values()].map(({host}) => host))];
}

/** Finds the most recently started upstream at an address. */
export function findByAddress(
  list: UpstreamList,
  host: string,
  port: number,
): ListedUpstream | undefined {
  return list.byAddress.get(`${host}:${port}`);
}
