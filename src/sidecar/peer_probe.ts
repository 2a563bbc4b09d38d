import {
  type ListedUpstream,
  type LoadReport,
  type OpenForward,
  type PeerContact,
  PROBE_TIMEOUT_MS,
  SILENT_PROBE_MS,
  SLOW_PROBE_TIMEOUT_MS,
  computeProbeAfterMs,
  count,
  getOrCreateContact,
  excludeTarget,
  listHostsToProbe,
  listUpstreams,
  markPeerSeen,
  markPeerSilent,
  predictReplyMs,
  readmitTarget,
  setReplyTimeout,
  takeToken,
} from '../internal.js';
import type {SidecarBoard} from './board.js';
import type {ForwardCall, ForwardReply} from './forward.js';
import {readLoadHeaders} from './load_headers.js';
import {type HttpClient, createHttpClient} from './http_client.js';

/** Lag of the event loop above which probes say nothing about others, ms. */
const MAX_PROBE_LAG_MS = 100;

/** Time for which the upstreams of a silent daemon are excluded, ms: the next
 * probe has ended by then. */
const SILENT_EXCLUSION_MS =
  SILENT_PROBE_MS + SLOW_PROBE_TIMEOUT_MS + PROBE_TIMEOUT_MS;

/** Path of the liveness probe; the answer carries the load of the daemon. */
export const ALIVE_PATH = '/.well-known/berylbend/alive';

/**
 * Awaits the reply of the daemon of an upstream. When that daemon falls silent,
 * a request that may run again ends as broken, unless this daemon stops; others
 * keep waiting.
 */
export function awaitPeerReply(
  board: SidecarBoard,
  {id, host}: ListedUpstream,
  call: ForwardCall,
  repeatable: boolean,
): Promise<ForwardReply> {
  const {now} = board;
  const contact = getOrCreateContact(board.contacts, host);
  return new Promise(resolve => {
    let givenUp = false;
    const giveUp = (): void => {
      // A planned stop must not cut a request that may be running.
      if (board.stopping) return;
      givenUp = true;
      contact.open.delete(openForward);
      count(board, 'forwards_given_up');
      resolve({
        kind: 'broken',
        outcome: 'connectionBroken',
        code: 'PEER_SILENT',
      });
      call.abort();
    };
    const sentAt = now();
    const replyMs = predictReplyMs(board.balance, id, sentAt);
    const probeAfterMs = computeProbeAfterMs(replyMs);
    const openForward: OpenForward = {
      sentAt,
      probeAfterMs,
      giveUp: repeatable ? giveUp : undefined,
    };
    contact.open.add(openForward);
    void call.result.then(reply => {
      contact.open.delete(openForward);
      if (reply.report) recordMessage(board, host, contact, reply.report);
      if (givenUp && reply.kind === 'answer') reply.answer.release();
      resolve(reply);
    });
  });
}

/** Records a message of a daemon; returns true when it was silent before. */
function recordMessage(
  board: SidecarBoard,
  host: string,
  contact: PeerContact,
  {storeLost}: LoadReport,
): boolean {
  board.peerHeardAt = board.now();
  if (storeLost) board.outageToldAt = board.peerHeardAt;
  const wasSilent = markPeerSeen(contact, board.peerHeardAt);
  if (wasSilent) board.crashRecords.returned.add(host);
  return wasSilent;
}

/** Creates the client for probes. */
export function createProbeClient(): HttpClient {
  return createHttpClient({
    // Each probe opens a connection: an old one may be dead while its daemon
    // is up.
    connections: 1,
    connectTimeoutMs: PROBE_TIMEOUT_MS,
    keepAliveMs: 1,
  });
}

/**
 * Probes daemons that owe a reply and have sent nothing for a while. Otherwise
 * one that is cut off or has lost power would fail requests for seconds, until
 * its list entry expires.
 */
export function probeQuietPeers(board: SidecarBoard, client: HttpClient): void {
  if (board.lag.read() > MAX_PROBE_LAG_MS) return;
  const now = board.now();
  for (const host of listHostsToProbe(board.contacts, now)) {
    if (!takeToken(board.probeTokens, now)) {
      count(board, 'peer_probe_rounds_limited');
      return;
    }
    void probe(board, client, host);
  }
}

async function probe(
  board: SidecarBoard,
  client: HttpClient,
  host: string,
): Promise<void> {
  const contact = getOrCreateContact(board.contacts, host);
  const startedAt = board.now();
  contact.probing = true;
  contact.probedAt = startedAt;
  count(board, 'peer_probes');
  const origin = `http://${host}:${board.settings.peerPort}`;
  const request = {
    method: 'GET',
    path: ALIVE_PATH,
    headers: [],
    body: undefined,
  };
  const call = client.send(origin, request, startedAt);
  const abort = () => call.abort();
  let cancelTimeout = setReplyTimeout(() => {
    if (!call.isWritten()) return abort();
    count(board, 'peer_probes_slow');
    const extraMs = SLOW_PROBE_TIMEOUT_MS - PROBE_TIMEOUT_MS;
    cancelTimeout = setReplyTimeout(abort, extraMs);
  }, PROBE_TIMEOUT_MS);
  const result = await call.result;
  cancelTimeout();
  contact.probing = false;
  const report =
    result.kind === 'answer'
      ? readLoadHeaders(result.answer.headers)
      : undefined;
  if (report) recordSuccess(board, host, contact, report);
  else if (board.lag.read() > MAX_PROBE_LAG_MS) {
    count(board, 'peer_probes_inconclusive');
  } else if (contact.lastSeenAt < startedAt) {
    recordFailure(board, host, contact);
  }
}

function recordSuccess(
  board: SidecarBoard,
  host: string,
  contact: PeerContact,
  report: LoadReport,
): void {
  const now = board.now();
  const wasSilent = recordMessage(board, host, contact, report);
  for (const id of listUpstreamIds(board, host)) {
    if (wasSilent) readmitTarget(board.balance, id, report, now);
  }
  if (wasSilent) board.log.write('always', 'peerHeard', {host});
}

function recordFailure(
  board: SidecarBoard,
  host: string,
  contact: PeerContact,
): void {
  const now = board.now();
  const upstreams = listUpstreamIds(board, host);
  if (upstreams.length === 0 && contact.open.size === 0) {
    board.contacts.delete(host);
    return;
  }
  if (!contact.silent) {
    count(board, 'peer_silences');
    board.log.write('always', 'peerSilent', {
      host,
      open: contact.open.size,
      heardAgoMs: Math.round(Math.min(now - contact.lastSeenAt, 1e6)),
    });
  }
  for (const id of upstreams) {
    excludeTarget(board.balance, id, SILENT_EXCLUSION_MS, now);
  }
  markPeerSilent(contact);
}

function listUpstreamIds({list}: SidecarBoard, host: string): string[] {
  return listUpstreams(list)
    .filter(upstream => upstream.host === host)
    .map(({id}) => id);
}
