/**
 * Time without a message from a daemon with open requests after which it is
 * probed, ms. Most upstreams answer sooner, so probes are rare.
 */
export const PROBE_AFTER_MS = 200;

/** Timeout of a probe, ms: long enough to retransmit a lost packet. */
export const PROBE_TIMEOUT_MS = 400;

/** Interval between probes of a silent daemon, ms. */
export const SILENT_PROBE_MS = 500;

/** A forwarded request that has no answer yet. */
export interface OpenForward {
  readonly sentAt: number;
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

/** Lists the hosts whose probe is due. */
export function listHostsToProbe(
  contacts: PeerContacts,
  now: number,
): string[] {
  const due: string[] = [];
  for (const [host, contact] of contacts) {
    if (!contact.probing && needsProbe(contact, now)) due.push(host);
  }
  return due;
}

function needsProbe(contact: PeerContact, now: number): boolean {
  const {open, lastSeenAt, probedAt, silent} = contact;
  if (silent) return now - probedAt >= SILENT_PROBE_MS;
  // Sets keep insertion order, so the first request is the oldest.
  const [oldest] = open;
  return (
    oldest !== undefined &&
    now - Math.max(lastSeenAt, oldest.sentAt) >= PROBE_AFTER_MS
  );
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
