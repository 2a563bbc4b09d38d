import {
  type QuotaContacts,
  createQuotaContacts,
  isPlaceHeard,
  isStandingIn,
  markHeard,
  markRoundFailed,
  markUnanswered,
  pruneQuotaContacts,
  startHostProbe,
  startPlaceProbe,
} from './quota_contacts.js';
import type {QuotaEntry} from './quota_entry.js';
import type {
  QuotaAsk,
  QuotaAsker,
  QuotaGrant,
  QuotaHome,
  QuotaTerms,
} from './quota_home.js';
import {type Places, listGranters} from './quota_role.js';

/** Time for the answer to an ask, ms. */
export const QUOTA_ASK_TIMEOUT_MS = 250;

/** Organisations in one message. */
export const MAX_QUOTA_ITEMS = 1_000;

/** Message to a daemon that grants tokens; one without items is a probe. */
export interface QuotaMessage extends QuotaAsker {
  /** True while the sender grants in place of the receiver. */
  readonly standsIn: boolean;
  readonly items: readonly (QuotaAsk & {readonly name: string})[];
}

/** Answer by item; null for an organisation that the daemon does not know. */
export type QuotaReply = readonly (QuotaGrant | null)[];

/** Result for one request. */
export interface QuotaDecision {
  readonly granted: boolean;
  /** Time until a token is due, ms; 0 when granted. */
  readonly waitMs: number;
  /** Time since the latest answer of a daemon that grants, ms. */
  readonly ageMs: number;
  /** Unspent tokens of the entry. */
  readonly tokens: number;
  /** Host of the daemon that was asked last; empty before the first ask. */
  readonly granter: string;
}

/** What the quotas of a daemon need from outside. */
export interface QuotaDeps {
  readonly host: string;
  readonly dataCentre: string;
  readonly boot: string;
  /** Monotonic clock, ms. */
  readonly now: () => number;
  readonly random: () => number;
  /** Calls back after a time; with 0 after the events at hand. */
  readonly later: (ms: number, run: () => void) => void;
  /** Sends a message; `done` gets undefined without an answer in time. */
  readonly send: (
    host: string,
    message: QuotaMessage,
    done: (reply: QuotaReply | undefined) => void,
  ) => void;
  /** All daemons; the same object until they change. */
  readonly readPlaces: () => Places;
  /** Quota by the configuration in force; undefined when there is none. */
  readonly findTerms: (name: string) => QuotaTerms | undefined;
}

/** A request that waits for a token. */
export interface Waiter {
  readonly expiresAt: number;
  readonly done: (decision: QuotaDecision) => void;
}

/** Quota of one organisation at the entry. */
export interface EntryState {
  readonly entry: QuotaEntry;
  terms: QuotaTerms;
  waiters: Waiter[];
  /** True while an ask is on its way or about to be sent. */
  asking: boolean;
  /** Host of the daemon that was asked last. */
  granter: string;
}

/** Quotas of one daemon, as an entry and as one that grants. */
export interface QuotaDaemon {
  readonly deps: QuotaDeps;
  readonly entries: Map<string, EntryState>;
  readonly homes: Map<string, QuotaHome>;
  readonly contacts: QuotaContacts;
  readonly granters: Map<string, readonly string[]>;
  /** Organisations to ask for in the next message, by host. */
  readonly outgoing: Map<string, Set<string>>;
  places: Places;
  /** Monotonic time since which `places` is the same, ms. */
  placesAt: number;
  seq: number;
}

/** Creates the state of a daemon that has granted and asked for nothing. */
export function createQuotaDaemon(deps: QuotaDeps): QuotaDaemon {
  return {
    deps,
    entries: new Map(),
    homes: new Map(),
    contacts: createQuotaContacts(),
    granters: new Map(),
    outgoing: new Map(),
    places: new Map(),
    placesAt: deps.now(),
    seq: 0,
  };
}

/** Forgets organisations that the configuration does not hold any more. */
export function pruneQuotas({
  deps,
  entries,
  homes,
  granters,
}: QuotaDaemon): void {
  for (const [name, {waiters}] of entries) {
    if (waiters.length === 0 && !deps.findTerms(name)) entries.delete(name);
  }
  for (const names of [homes, granters]) {
    for (const name of names.keys()) {
      if (!deps.findTerms(name)) names.delete(name);
    }
  }
}

/** Reads which daemons there are; ranks them anew once they have changed. */
export function refreshQuotaPlaces(daemon: QuotaDaemon): void {
  const places = daemon.deps.readPlaces();
  if (places === daemon.places) return;
  daemon.places = places;
  daemon.placesAt = daemon.deps.now();
  daemon.granters.clear();
  pruneQuotaContacts(daemon.contacts, places);
}

/** Lists the daemons that grant tokens of an organisation to this one. */
export function findGranters(
  daemon: QuotaDaemon,
  name: string,
): readonly string[] {
  refreshQuotaPlaces(daemon);
  const {places, deps} = daemon;
  let granters = daemon.granters.get(name);
  if (!granters) {
    granters = listGranters(name, places, deps.dataCentre);
    daemon.granters.set(name, granters);
  }
  return granters;
}

/** Sends a message and records whether it was answered. */
export function sendMessage(
  daemon: QuotaDaemon,
  host: string,
  items: QuotaMessage['items'],
  done: (reply: QuotaReply | undefined) => void,
): void {
  const {deps, contacts} = daemon;
  const sentAt = deps.now();
  const asker = {host: deps.host, boot: deps.boot, seq: ++daemon.seq};
  const standsIn = isStandingIn(contacts, host, sentAt);
  deps.send(host, {...asker, standsIn, items}, reply => {
    if (reply) {
      markHeard(contacts, host, daemon.places.get(host), deps.now());
      // Tells the other daemon at once that it grants for all again.
      if (standsIn) sendMessage(daemon, host, [], () => {});
    } else markUnanswered(contacts, host, sentAt);
    done(reply);
  });
}

/** Probes a daemon that has been quiet or silent. */
export function probeHost(daemon: QuotaDaemon, host: string): void {
  if (!startHostProbe(daemon.contacts, host, daemon.deps.now())) return;
  sendMessage(daemon, host, [], () => {});
}

/** Probes a data centre that has been quiet. */
export function probePlace(daemon: QuotaDaemon, dataCentre: string): void {
  const {contacts, deps, places} = daemon;
  const sentAt = deps.now();
  const hosts = startPlaceProbe(
    contacts,
    dataCentre,
    places,
    deps.host,
    deps.random,
    sentAt,
  );
  let left = hosts.length;
  for (const host of hosts) {
    sendMessage(daemon, host, [], reply => {
      left--;
      if (left > 0) return;
      markRoundFailed(contacts, dataCentre, sentAt);
      if (!isPlaceHeard(contacts, dataCentre, deps.now())) return;
      if (reply === undefined) probePlace(daemon, dataCentre);
    });
  }
}
