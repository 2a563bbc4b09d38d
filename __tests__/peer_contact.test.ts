import test from 'ava';
import {
  computeProbeAfterMs,
  getOrCreateContact,
  listHostsToProbe,
  markPeerSeen,
  markPeerSilent,
  MAX_PROBE_AFTER_MS,
  pruneContacts,
  PROBE_AFTER_MS,
  SILENT_PROBE_MS,
  type PeerContacts,
} from '../src/internal.js';

function makeContact() {
  const contacts: PeerContacts = new Map();
  return {contacts, contact: getOrCreateContact(contacts, 'h')};
}

test('a daemon is probed only if it has open requests and sends nothing', t => {
  const {contacts, contact} = makeContact();
  t.deepEqual(listHostsToProbe(contacts, 10_000), []);
  contact.open.add({sentAt: 1_000, probeAfterMs: PROBE_AFTER_MS});
  t.deepEqual(listHostsToProbe(contacts, 1_000 + PROBE_AFTER_MS - 1), []);
  t.deepEqual(listHostsToProbe(contacts, 1_000 + PROBE_AFTER_MS), ['h']);
  contact.probing = true;
  t.deepEqual(listHostsToProbe(contacts, 1_000 + PROBE_AFTER_MS), []);
  contact.probing = false;
  markPeerSeen(contact, 1_150);
  t.deepEqual(listHostsToProbe(contacts, 1_000 + PROBE_AFTER_MS), []);
});

// A booking at a silent daemon may still be answered; if it ended early, it
// would be reported as failed although it ran.
test('a silent daemon ends only the requests that may be resent', t => {
  const {contact} = makeContact();
  let ended = 0;
  contact.open.add({sentAt: 0, probeAfterMs: PROBE_AFTER_MS});
  contact.open.add({
    sentAt: 0,
    probeAfterMs: PROBE_AFTER_MS,
    giveUp: () => ended++,
  });
  markPeerSilent(contact);
  t.is(ended, 1);
  t.true(contact.silent);
});

test('a silent daemon is probed until it answers, also without requests', t => {
  const {contacts, contact} = makeContact();
  markPeerSilent(contact);
  contact.probedAt = 5_000;
  t.deepEqual(listHostsToProbe(contacts, 5_000 + SILENT_PROBE_MS - 1), []);
  t.deepEqual(listHostsToProbe(contacts, 5_000 + SILENT_PROBE_MS), ['h']);
  t.true(markPeerSeen(contact, 6_000));
  t.false(markPeerSeen(contact, 6_001));
  t.deepEqual(listHostsToProbe(contacts, 10_000), []);
  // An old open request makes a probe due, but does not mark it silent.
  contact.open.add({sentAt: 0, probeAfterMs: PROBE_AFTER_MS});
  t.deepEqual(listHostsToProbe(contacts, 6_001 + PROBE_AFTER_MS - 1), []);
  t.deepEqual(listHostsToProbe(contacts, 6_001 + PROBE_AFTER_MS), ['h']);
});

test('unlisted hosts are removed once they have no open requests', t => {
  const {contacts, contact} = makeContact();
  const open = {sentAt: 0, probeAfterMs: PROBE_AFTER_MS};
  contact.open.add(open);
  pruneContacts(contacts, new Set());
  t.is(contacts.size, 1);
  contact.open.delete(open);
  pruneContacts(contacts, new Set(['h']));
  t.is(contacts.size, 1);
  pruneContacts(contacts, new Set());
  t.is(contacts.size, 0);
});

// Replies of upstreams with long requests or queues caused as many probes as
// there were requests, each on a connection of its own.
test('a daemon is probed later when its reply is expected later', t => {
  t.is(computeProbeAfterMs(0), PROBE_AFTER_MS);
  t.is(computeProbeAfterMs(300), 600);
  t.is(computeProbeAfterMs(5_000), MAX_PROBE_AFTER_MS);
  const {contacts, contact} = makeContact();
  contact.open.add({sentAt: 1_000, probeAfterMs: 600});
  t.deepEqual(listHostsToProbe(contacts, 1_599), []);
  t.deepEqual(listHostsToProbe(contacts, 1_600), ['h']);
});

test('the host that was probed longest ago is listed first', t => {
  const contacts: PeerContacts = new Map();
  for (const [host, probedAt] of Object.entries({a: 20, b: 10, c: -Infinity})) {
    const contact = getOrCreateContact(contacts, host);
    contact.probedAt = probedAt;
    contact.open.add({sentAt: 0, probeAfterMs: PROBE_AFTER_MS});
  }
  t.deepEqual(listHostsToProbe(contacts, 1_000), ['c', 'b', 'a']);
});
