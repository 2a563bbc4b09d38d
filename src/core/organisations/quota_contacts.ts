import type {Places} from './quota_role.js';

/** Time without a message of a data centre after which some of its daemons are
 * probed, ms. */
const QUIET_MS = 700;

/** Time between probes of a silent daemon or data centre, ms. */
const SILENT_PROBE_MS = 400;

/** Time between probes of a daemon that has failed to answer once, ms. */
const DOUBT_PROBE_MS = 50;

/** Rounds of probes without an answer after which a data centre counts as cut off:
 * a daemon that is probed may have ended. */
const LOST_ROUNDS = 2;

/** Daemons probed in each round. */
const PROBED_DAEMONS = 2;

/** Time for which a data centre counts as served by a stand-in that has said so, and
 * for which a stand-in says so, ms. */
const STOOD_IN_MS = 1_000;

/** Messages in a row without an answer after which another daemon stands in for one:
 * a single answer may be late, and both would grant. */
const GONE_FAILURES = 2;

interface HostContact {
  /** Messages in a row without an answer. */
  failures: number;
  /** When this daemon last granted in place of the other one. */
  stoodInAt: number;
  heardAt: number;
  probedAt: number;
}

interface PlaceContact {
  /** When a daemon last said that it grants in place of this one, and which. */
  stoodInAt: number;
  stoodInBy: string;
  heardAt: number;
  probedAt: number;
  /** Rounds of probes without an answer. */
  failedRounds: number;
}

/** Which daemons and data centres have answered lately. */
export interface QuotaContacts {
  readonly hosts: Map<string, HostContact>;
  readonly places: Map<string, PlaceContact>;
}

/** Creates the state of a daemon that has heard nobody. */
export function createQuotaContacts(): QuotaContacts {
  return {hosts: new Map(), places: new Map()};
}

function getHost({hosts}: QuotaContacts, host: string): HostContact {
  let contact = hosts.get(host);
  if (!contact) {
    contact = {
      failures: 0,
      stoodInAt: -Infinity,
      heardAt: -Infinity,
      probedAt: -Infinity,
    };
    hosts.set(host, contact);
  }
  return contact;
}

function getPlace({places}: QuotaContacts, dataCentre: string): PlaceContact {
  let contact = places.get(dataCentre);
  if (!contact) {
    contact = {
      stoodInAt: -Infinity,
      stoodInBy: '',
      heardAt: -Infinity,
      probedAt: -Infinity,
      failedRounds: 0,
    };
    places.set(dataCentre, contact);
  }
  return contact;
}

/** Records a message from a daemon. `now` is monotonic time, ms. */
export function markHeard(
  contacts: QuotaContacts,
  host: string,
  dataCentre: string | undefined,
  now: number,
): void {
  Object.assign(getHost(contacts, host), {failures: 0, heardAt: now});
  if (dataCentre === undefined) return;
  const place = getPlace(contacts, dataCentre);
  place.heardAt = now;
  place.failedRounds = 0;
}

/** Records that a daemon has not answered a message that was sent at `sentAt`. */
export function markUnanswered(
  contacts: QuotaContacts,
  host: string,
  sentAt: number,
): void {
  const contact = getHost(contacts, host);
  if (contact.heardAt < sentAt) contact.failures++;
}

/** True when a daemon has not answered the latest message to it. */
export function isHostSilent({hosts}: QuotaContacts, host: string): boolean {
  return (hosts.get(host)?.failures ?? 0) > 0;
}

/** True when a daemon has not answered several messages in a row. */
export function isHostGone({hosts}: QuotaContacts, host: string): boolean {
  return (hosts.get(host)?.failures ?? 0) >= GONE_FAILURES;
}

/** False once the probed daemons of a data centre have not answered, and while one
 * of them grants in place of this daemon. */
export function isPlaceHeard(
  {places}: QuotaContacts,
  dataCentre: string,
  now: number,
): boolean {
  const place = places.get(dataCentre);
  if (!place) return true;
  const {failedRounds, stoodInAt} = place;
  return failedRounds < LOST_ROUNDS && now - stoodInAt >= STOOD_IN_MS;
}

/** Records that this daemon grants in place of another one. */
export function markStandIn(
  contacts: QuotaContacts,
  host: string,
  now: number,
): void {
  getHost(contacts, host).stoodInAt = now;
}

/** True while a daemon is to be told that this one grants in its place: it may hear
 * this one without being heard. */
export function isStandingIn(
  {hosts}: QuotaContacts,
  host: string,
  now: number,
): boolean {
  const {failures = 0, stoodInAt = -Infinity} = hosts.get(host) ?? {};
  return failures > 0 && now - stoodInAt < STOOD_IN_MS;
}

/** Records whether a daemon of a data centre grants in place of this one. */
export function markStoodIn(
  contacts: QuotaContacts,
  dataCentre: string,
  host: string,
  standsIn: boolean,
  now: number,
): void {
  const place = getPlace(contacts, dataCentre);
  if (standsIn) Object.assign(place, {stoodInAt: now, stoodInBy: host});
  else if (place.stoodInBy === host) place.stoodInAt = -Infinity;
}

/** True when a daemon is to be probed, as it is silent or has not been heard for
 * a while; notes the probe. */
export function startHostProbe(
  contacts: QuotaContacts,
  host: string,
  now: number,
): boolean {
  const contact = getHost(contacts, host);
  const {failures, heardAt, probedAt} = contact;
  const isDoubtful = failures > 0 && failures < GONE_FAILURES;
  if (now - probedAt < (isDoubtful ? DOUBT_PROBE_MS : SILENT_PROBE_MS)) {
    return false;
  }
  if (failures === 0 && now - heardAt < QUIET_MS) return false;
  contact.probedAt = now;
  return true;
}

/** Picks the daemons of a data centre to probe, if it has been quiet; notes the
 * round. */
export function startPlaceProbe(
  contacts: QuotaContacts,
  dataCentre: string,
  places: Places,
  own: string,
  random: () => number,
  now: number,
): string[] {
  const contact = getPlace(contacts, dataCentre);
  if (now - contact.heardAt < QUIET_MS) return [];
  if (now - contact.probedAt < SILENT_PROBE_MS) return [];
  contact.probedAt = now;
  const hosts = [...places.keys()].filter(
    host => host !== own && places.get(host) === dataCentre,
  );
  const picked: string[] = [];
  while (picked.length < PROBED_DAEMONS && hosts.length > 0) {
    picked.push(...hosts.splice(Math.floor(random() * hosts.length), 1));
  }
  return picked;
}

/** Records a round of probes, begun at `sentAt`, that nobody has answered. */
export function markRoundFailed(
  contacts: QuotaContacts,
  dataCentre: string,
  sentAt: number,
): void {
  const contact = getPlace(contacts, dataCentre);
  if (contact.heardAt < sentAt) contact.failedRounds++;
}

/** Forgets daemons that are not listed any more. */
export function pruneQuotaContacts(
  {hosts}: QuotaContacts,
  places: Places,
): void {
  for (const host of hosts.keys()) if (!places.has(host)) hosts.delete(host);
}
