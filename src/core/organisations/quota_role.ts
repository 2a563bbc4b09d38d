import {rankByRendezvous} from '../../utils/hash.js';
import type {GrantRole} from './quota_home.js';

/** Daemons of the own data centre that may stand in for a silent home. */
const MAX_STAND_INS = 3;

/** Part of its share of the rate that a daemon grants which reaches no other. */
const ALONE_SHARE = 0.25;

/** Data centre of each daemon, by host. */
export type Places = ReadonlyMap<string, string>;

/** Lists the daemons that an entry asks for an organisation, in this order: the
 * home, then those of its own data centre. */
export function listGranters(
  name: string,
  places: Places,
  dataCentre: string,
): string[] {
  const [home, ...others] = rankByRendezvous(name, places.keys());
  if (home === undefined) return [];
  const near = others.filter(host => places.get(host) === dataCentre);
  return [home, ...near.slice(0, MAX_STAND_INS)];
}

/** What a daemon knows when it decides how it grants. */
export interface RoleView {
  readonly host: string;
  readonly places: Places;
  /** Result of `listGranters` for its own data centre. */
  readonly granters: readonly string[];
  /** True when another daemon has not answered several messages in a row. */
  readonly isGone: (host: string) => boolean;
  /** False when the daemons of the data centre have not answered lately. */
  readonly isHeard: (dataCentre: string) => boolean;
  /** Entries that have asked this daemon lately, itself included. */
  readonly askers: number;
}

/**
 * Decides how a daemon grants the tokens of an organisation. A home leaves their
 * part of the rate to data centres that it does not hear; a stand-in grants that
 * of its own data centre, once all daemons before it are gone. Others grant
 * a quarter of what each asker would have of an equal division, so that daemons with
 * different views stay below the rate together.
 */
export function decideGrantRole(view: RoleView): GrantRole {
  const {host, places, granters, isGone, isHeard} = view;
  const total = Math.max(1, places.size);
  const own = places.get(host);
  const aloneShare = (ALONE_SHARE * Math.max(1, view.askers)) / total;
  const alone: GrantRole = {kind: 'alone', share: Math.min(1, aloneShare)};
  const rank = granters.indexOf(host);
  if (own === undefined || rank < 0) return alone;
  const hears = (dataCentre: string): boolean =>
    dataCentre === own
      ? isHeard(own) || countPlaced(places, own) === 1
      : isHeard(dataCentre);
  if (!hears(own)) return alone;
  if (rank === 0) {
    let reached = 0;
    for (const dataCentre of places.values()) {
      if (hears(dataCentre)) reached++;
    }
    return {kind: 'home', share: reached / total};
  }
  if (!granters.slice(0, rank).every(isGone)) return alone;
  return {kind: 'standIn', share: countPlaced(places, own) / total};
}

function countPlaced(places: Places, dataCentre: string): number {
  let sum = 0;
  for (const place of places.values()) if (place === dataCentre) sum++;
  return sum;
}
