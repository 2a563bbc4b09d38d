import {hash32, rankByRendezvous} from '../utils/hash.js';

/** Daemons per reader in one data centre; sets the number of readers. */
const FOLLOWERS_PER_READER = 32;

/** Key by which the daemons of all data centres are ranked; no data centre has
 * this name. */
const FLEET_KEY = '';

/** Daemons of the fleet that a reader asks, at most, before it reads the store
 * itself. */
const FLEET_READERS_ASKED = 2;

/**
 * Ranks the daemons of a data centre for one of them. The first few read
 * updates and answer the others, so the number of calls hardly grows with the
 * fleet; a daemon reads the store itself when its reader is stale.
 */
export function rankReaders(
  key: string,
  addresses: Iterable<string>,
  own: string,
): string[] {
  const ranked = rankByRendezvous(key, addresses);
  const readers = Math.ceil(ranked.length / FOLLOWERS_PER_READER);
  const at = ranked.indexOf(own);
  const isReader = at >= 0 && at < readers;
  const first = isReader ? at : hash32(own) % Math.max(1, readers);
  return [...ranked.slice(first), ...ranked.slice(0, first)];
}

/**
 * Ranks the sources of updates for one daemon, best first; its own address
 * stands for the store. Daemons ask the readers of their data centre, and these
 * ask one daemon of the fleet, which alone watches the store while all is well.
 * A data centre that is cut off from the others still has readers that reach
 * the store.
 */
export function rankSources(
  dataCentre: string,
  candidates: ReadonlyMap<string, readonly string[]>,
  own: string,
): string[] {
  const local = rankReaders(dataCentre, candidates.get(dataCentre) ?? [], own);
  if (local[0] !== own) return local;
  // Chosen among the readers: any other daemon would ask one of them in turn.
  const leaders = [...candidates].map(
    ([key, addresses]) => rankByRendezvous(key, addresses)[0],
  );
  const fleet = rankByRendezvous(FLEET_KEY, leaders);
  const asked = fleet.slice(0, FLEET_READERS_ASKED);
  const before = asked.includes(own) ? asked.indexOf(own) : asked.length;
  return [...asked.slice(0, before), ...local];
}
