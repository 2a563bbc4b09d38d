/** Time without a sign of a daemon that owes an answer after which it is
 * probed, ms: most upstreams answer sooner, so probes stay few. */
export const PROBE_AFTER_MS = 200;

/** Time for the answer to a probe, ms: a lost packet is sent again within it. */
export const PROBE_TIMEOUT_MS = 400;

/** Pause between probes of a silent daemon, ms. */
export const SILENT_PROBE_MS = 500;

/** A forwarded request that has no answer yet. */
export interface OpenForward {
  readonly sentAt: number;
  /** Ends the wait for the answer; absent when only the answer may end it. */
  readonly giveUp?: () => void;
}

/** What this daemon has last heard of another one. */
export interface PeerContact {
  lastSeenAt: number;
  probedAt: number;
  probing: boolean;
  /** True after a probe that was not answered, until one is. */
  silent: boolean;
  readonly open: Set<OpenForward>;
}

/** Contacts by host. */
export type PeerContacts = Map<string, PeerContact>;

/** Finds the contact of a host; creates it when it is new. */
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

/** Notes a sign of life; returns true when the daemon was silent before. */
export function markPeerSeen(contact: PeerContact, now: number): boolean {
  const {silent} = contact;
  contact.lastSeenAt = now;
  contact.silent = false;
  return silent;
}

/**
 * Notes that a probe was not answered: requests that may go elsewhere do, and
 * the others keep waiting, since their answer may still come.
 */
export function markPeerSilent(contact: PeerContact): void {
  contact.silent = true;
  for (const {giveUp} of [...contact.open]) giveUp?.();
}

/** Hosts that are to be probed now. */
export function listHostsToProbe(
  contacts: PeerContacts,
  now: number,
): string[] {
  const quiet: string[] = [];
  for (const [host, contact] of contacts) {
    if (!contact.probing && needsProbe(contact, now)) quiet.push(host);
  }
  return quiet;
}

function needsProbe(contact: PeerContact, now: number): boolean {
  const {open, lastSeenAt: heardAt, probedAt, silent} = contact;
  if (silent) return now - probedAt >= SILENT_PROBE_MS;
  // Requests are kept in the order in which they were sent.
  const [oldest] = open;
  return (
    oldest !== undefined &&
    now - Math.max(heardAt, oldest.sentAt) >= PROBE_AFTER_MS
  );
}

/** Forgets hosts that are no longer listed and owe nothing. */
export function pruneContacts(
  contacts: PeerContacts,
  listed: ReadonlySet<string>,
): void {
  for (const [host, {open}] of contacts) {
    if (!listed.has(host) && open.size === 0) contacts.delete(host);
  }
}
