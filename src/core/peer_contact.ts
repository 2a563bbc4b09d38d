/**
 * Shortest time without a message from a daemon with open requests after which
 * it is probed, ms.
 */
export const PROBE_AFTER_MS = 200;

/** Longest such time, ms, for daemons whose replies take long. */
export const MAX_PROBE_AFTER_MS = 800;

/** Multiple of the expected reply time after which a daemon is probed. */
const PROBE_AFTER_REPLIES = 2;

/** Timeout of a probe, ms: long enough to retransmit a lost packet. */
export const PROBE_TIMEOUT_MS = 400;

/**
 * Timeout of a probe whose connection was opened, ms. The instance of that
 * daemon is up, so the daemon is probably busy rather than cut off.
 */
export const SLOW_PROBE_TIMEOUT_MS = 1_500;

/** Interval between probes of a silent daemon, ms. */
export const SILENT_PROBE_MS = 500;

/** Probes that one daemon sends per second. Without a limit busy daemons probe
 * each other as often as they forward requests. */
export const PROBES_PER_S = 20;

/** Probes that one daemon sends at once: a data centre may be cut off. */
export const PROBE_BURST = 80;

/** A forwarded request that has no answer yet. */
export interface OpenForward {
  readonly sentAt: number;
  /** Time without a message after which the daemon is probed, ms. */
  readonly probeAfterMs: number;
  /** Stops waiting; absent when only the answer may end the wait. */
  readonly giveUp?: () => void;
}

/** Liveness of another daemon as seen by this one. */
export interface PeerContact {
  lastSeenAt: number;
  probedAt: number;
  probing: boolean;
  /** True from an unanswered probe until the next message from the daemon. */
  silent: boolean;
  readonly open: Set<OpenForward>;
}

/** Contacts by host. */
export type PeerContacts = Map<string, PeerContact>;

/** Returns the contact of a host; creates it if missing. */
export function getOrCreateContact(
  contacts: PeerContacts,
  host: string,
): PeerContact {
  let contact = contacts.get(host);
  if (!contact) {
    contact = {
      lastSeenAt: -Infinity,
      probedAt: -Infinity,
      probing: false,
      silent: false,
      open: new Set(),
    };
    contacts.set(host, contact);
  }
  return contact;
}

/** Records a message from a daemon; returns true when it was silent before. */
export function markPeerSeen(contact: PeerContact, now: number): boolean {
  const {silent} = contact;
  contact.lastSeenAt = now;
  contact.silent = false;
  return silent;
}

/**
 * Marks a daemon as silent after an unanswered probe. Requests that may be
 * resent stop waiting; the others do not, since their answer may still come.
 */
export function markPeerSilent(contact: PeerContact): void {
  contact.silent = true;
  for (const {giveUp} of [...contact.open]) giveUp?.();
}

/** Time to wait for a reply that is expected after `replyMs` before the daemon
 * is probed, ms. */
export function computeProbeAfterMs(replyMs: number): number {
  const waitMs = PROBE_AFTER_REPLIES * replyMs;
  return Math.min(MAX_PROBE_AFTER_MS, Math.max(PROBE_AFTER_MS, waitMs));
}

/** Lists the hosts whose probe is due, the one probed longest ago first. */
export function listHostsToProbe(
  contacts: PeerContacts,
  now: number,
): string[] {
  return [...contacts]
    .filter(([, contact]) => !contact.probing && needsProbe(contact, now))
    .sort(([, a], [, b]) => compareProbedAt(a, b))
    .map(([host]) => host);
}

function compareProbedAt(a: PeerContact, b: PeerContact): number {
  if (a.probedAt === b.probedAt) return 0;
  return a.probedAt < b.probedAt ? -1 : 1;
}

function needsProbe(contact: PeerContact, now: number): boolean {
  const {open, lastSeenAt, probedAt, silent} = contact;
  if (silent) return now - probedAt >= SILENT_PROBE_MS;
  // Sets keep insertion order, so the first request is the oldest.
  const [oldest] = open;
  if (oldest === undefined) return false;
  const quietSince = Math.max(lastSeenAt, probedAt, oldest.sentAt);
  return now - quietSince >= oldest.probeAfterMs;
}

/** Removes hosts that are no longer listed and have no open request. */
export function pruneContacts(
  contacts: PeerContacts,
  listed: ReadonlySet<string>,
): void {
  for (const [host, {open}] of contacts) {
    if (!listed.has(host) && open.size === 0) contacts.delete(host);
  }
}
