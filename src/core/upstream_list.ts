import type {MeshUpstream} from '../types/mesh.js';
import {
  chooseColdUntil,
  createKeptBeliefs,
  forgetGone,
  type KeptBeliefs,
  rememberGone,
} from './eras/kept_beliefs.js';

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
  /** Set while a record of an upstream that was known to be gone is not believed:
   * monotonic end of that time, ms, and the state in the record. */
  held?: {readonly until: number; readonly listedState: MeshUpstream['state']};
}

interface ListIndex {
  /** Entries of services that the configuration names. */
  readonly named: readonly ListedUpstream[];
  readonly byService: ReadonlyMap<string, readonly ListedUpstream[]>;
  /** Most recently started upstream at each address (host:port). */
  readonly byAddress: ReadonlyMap<string, ListedUpstream>;
  readonly hosts: readonly string[];
}

/** Known upstreams, and the data centres that are taken out. */
export interface UpstreamList {
  readonly byId: Map<string, ListedUpstream>;
  /** Increases with each change of an entry. */
  version: number;
  /** Look-up maps; undefined after a change until they are needed. */
  index?: ListIndex;
  /** Services that the configuration names; undefined before the first one. */
  services?: ReadonlySet<string>;
  readonly takenOut: Set<string>;
  /** True once the full list has been read. */
  complete: boolean;
  /** Monotonic time up to which missing entries are kept, ms. */
  keepMissingUntil: number;
  readonly kept: KeptBeliefs;
}

/** Creates an empty list. */
export function createUpstreamList(): UpstreamList {
  return {
    byId: new Map(),
    version: 0,
    takenOut: new Set(),
    complete: false,
    keepMissingUntil: -Infinity,
    kept: createKeptBeliefs(),
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
  const statedUntil = now + record.coldMs;
  const {kept, byId} = list;
  const coldUntil = chooseColdUntil(kept, known, record, statedUntil, now);
  const entry: ListedUpstream = {...record, coldUntil};
  if (known?.held && known.startedAt === record.startedAt) {
    entry.state = 'leaving';
    entry.held = {...known.held, listedState: record.state};
  } else forgetGone(kept, record.id);
  byId.set(record.id, entry);
  markChanged(list);
  return (
    !known ||
    known.state !== entry.state ||
    known.startedAt !== record.startedAt ||
    known.expiresAt !== undefined
  );
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
    markChanged(list);
    return false;
  }
  list.byId.delete(id);
  rememberGone(list.kept, known, now);
  markChanged(list);
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
  for (const entry of list.byId.values()) {
    const {id, expiresAt} = entry;
    if (expiresAt === undefined || now < expiresAt) continue;
    expired.push(id);
    rememberGone(list.kept, entry, now);
  }
  for (const id of expired) list.byId.delete(id);
  if (expired.length > 0) markChanged(list);
  return expired;
}

/** Records that an entry was added, changed or removed. */
export function markChanged(list: UpstreamList): void {
  list.version++;
  list.index = undefined;
}

/** Returns the look-up maps. Many entries change in one update, so the maps are
 * rebuilt once after it and not with each entry. */
function getIndex(list: UpstreamList): ListIndex {
  list.index ??= createIndex(list);
  return list.index;
}

function createIndex({byId, services}: UpstreamList): ListIndex {
  // An entry of another service may come from another writer: no daemon runs at
  // its address, and it must not hide the upstream that does.
  const named = [...byId.values()].filter(
    ({service}) => services?.has(service) ?? true,
  );
  const byAddress = new Map<string, ListedUpstream>();
  for (const upstream of named) {
    const address = formatAddress(upstream);
    const other = byAddress.get(address);
    if (!other || upstream.startedAt > other.startedAt) {
      byAddress.set(address, upstream);
    }
  }
  // An address serves one upstream at a time: earlier ones have ended.
  const byService = new Map<string, ListedUpstream[]>();
  for (const upstream of byAddress.values()) {
    const group = byService.get(upstream.service);
    if (group) group.push(upstream);
    else byService.set(upstream.service, [upstream]);
  }
  const hosts = new Set(named.map(({host}) => host));
  return {named, byService, byAddress, hosts: [...hosts]};
}

function formatAddress({host, port}: {host: string; port: number}): string {
  return `${host}:${port}`;
}

/** Sets the services that the configuration names. */
export function setServices(
  list: UpstreamList,
  services: ReadonlySet<string>,
): void {
  list.services = services;
  markChanged(list);
}

/** Lists the upstreams of all services that the configuration names. */
export function listUpstreams(list: UpstreamList): readonly ListedUpstream[] {
  return getIndex(list).named;
}

/** Lists the upstreams of a service. */
export function listService(
  list: UpstreamList,
  service: string,
): readonly ListedUpstream[] {
  return getIndex(list).byService.get(service) ?? [];
}

/** Lists the hosts of all upstreams; each runs a daemon. */
export function listHosts(list: UpstreamList): readonly string[] {
  return getIndex(list).hosts;
}

/** Finds the most recently started upstream at an address. */
export function findByAddress(
  list: UpstreamList,
  host: string,
  port: number,
): ListedUpstream | undefined {
  return getIndex(list).byAddress.get(formatAddress({host, port}));
}
