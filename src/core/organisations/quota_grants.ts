import {
  isHostGone,
  isPlaceHeard,
  markHeard,
  markStandIn,
  markStoodIn,
} from './quota_contacts.js';
import {
  type QuotaDaemon,
  type QuotaMessage,
  type QuotaReply,
  findGranters,
  probeHost,
  probePlace,
  refreshQuotaPlaces,
} from './quota_daemon.js';
import {
  type GrantRole,
  type QuotaAsk,
  type QuotaAsker,
  type QuotaGrant,
  type QuotaHome,
  countAskers,
  createQuotaHome,
  grantQuota,
} from './quota_home.js';
import {decideGrantRole} from './quota_role.js';

/** Answers a message of another daemon. */
export function answerQuotaMessage(
  daemon: QuotaDaemon,
  {items, standsIn, ...asker}: QuotaMessage,
): QuotaReply {
  const now = daemon.deps.now();
  refreshQuotaPlaces(daemon);
  const dataCentre = daemon.places.get(asker.host);
  markHeard(daemon.contacts, asker.host, dataCentre, now);
  if (dataCentre !== undefined) {
    markStoodIn(daemon.contacts, dataCentre, asker.host, standsIn, now);
  }
  return items.map(item => grantTokens(daemon, item.name, asker, item));
}

/** Grants tokens of an organisation to an entry, maybe the own one; null without a
 * quota in the configuration. */
export function grantTokens(
  daemon: QuotaDaemon,
  name: string,
  asker: QuotaAsker,
  ask: QuotaAsk,
): QuotaGrant | null {
  const {deps, homes} = daemon;
  const terms = deps.findTerms(name);
  if (!terms) return null;
  const now = deps.now();
  const known = homes.get(name);
  const role = decideRole(daemon, name, known);
  const home = known ?? createQuotaHome(role, daemon.placesAt, now);
  if (!known) homes.set(name, home);
  return grantQuota(home, terms, role, asker, ask, now);
}

function decideRole(
  daemon: QuotaDaemon,
  name: string,
  home: QuotaHome | undefined,
): GrantRole {
  const {deps, contacts} = daemon;
  const granters = findGranters(daemon, name);
  const {places} = daemon;
  const rank = granters.indexOf(deps.host);
  if (rank === 0) {
    for (const place of new Set(places.values())) probePlace(daemon, place);
  } else {
    const own = places.get(deps.host);
    if (own !== undefined) probePlace(daemon, own);
    for (const host of granters.slice(0, Math.max(0, rank))) {
      probeHost(daemon, host);
    }
  }
  const now = deps.now();
  const role = decideGrantRole({
    host: deps.host,
    places,
    granters,
    isGone: host => isHostGone(contacts, host),
    isHeard: place => isPlaceHeard(contacts, place, now),
    askers: home ? countAskers(home, now) : 1,
  });
  if (role.kind === 'standIn') markStandIn(contacts, granters[0], now);
  return role;
}
