import type {
  IncomingHttpHeaders,
  IncomingMessage,
  ServerResponse,
} from 'node:http';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {pack, unpack} from 'msgpackr';
import type {Socket} from 'node:net';
import {
  count,
  DECLINE_MS,
  FRESH_MS,
  hasNews,
  HEADERS,
  listHosts,
  listUpstreams,
  mirrorStateSchema,
  OVERLOAD_LAG_MS,
  parseEra,
  POLL_MS,
  rankSources,
  readMirror,
  recordTurnaround,
  setReplyTimeout,
  type MirrorState,
  type StorePeers,
  type StorePosition,
  type PeerUpdate,
} from '../internal.js';
import type {PendingPoll, SidecarBoard} from './board.js';
import {readHeader} from './header_copy.js';
import {createHttpClient, type HttpClient} from './http_client.js';

/** Path at which a daemon serves its copy of the store to its peers. */
export const STATE_PATH = '/.well-known/berylbend/state';

/** Time for the answer of a peer beyond the requested wait, ms. */
const ANSWER_MARGIN_MS = 400;

/** Timeout for connecting to a peer, ms. */
const CONNECT_TIMEOUT_MS = 250;

/** Time after which an idle connection to a peer is closed, ms. */
const KEEP_ALIVE_MS = 10_000;

/** Largest inflated state that is accepted from a peer, bytes. */
const MAX_STATE_BYTES = 67_108_864;

/** Packed states that are cached, one for each revision that peers have. */
const MAX_PACKED_STATES = 8;

/** Time by which the copy must be newer than at the arrival of a poll for an
 * answer without changes, ms. */
const MIN_PROGRESS_MS = POLL_MS / 2;

/** Upper bound of the age in an answer, ms. */
const MAX_AGE_MS = 3_600_000;

/** Creates the client for polls of peers; it polls one at a time. */
export function createStateClient(): HttpClient {
  return createHttpClient({
    connections: 1,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    keepAliveMs: KEEP_ALIVE_MS,
  });
}

/**
 * Serves the changes since the revision in the query. A query with a wait is a
 * long poll: it ends early on a change, or when this daemon loses the store.
 */
export function serveState(
  board: SidecarBoard,
  req: IncomingMessage,
  res: ServerResponse,
): void {
  recordPoll(board, req.socket);
  const query = new URLSearchParams((req.url ?? '').split('?')[1] ?? '');
  const {mirror} = board;
  // A daemon of an earlier version states no era and compares revisions alone.
  const after: StorePosition = {
    era: parseEra(query.get('era')) ?? mirror.era,
    revision: Number(query.get('after') ?? -1),
  };
  const answer = (heldMs?: number): void => {
    // Revisions of a daemon that knows no eras may be those of another era.
    const needsAll = !query.has('era') && mirror.era > 0;
    const isNews = needsAll && hasNews(mirror, after);
    answerState(board, isNews ? {...after, revision: -1} : after, res, heldMs);
  };
  // An answer from a stale copy must not be mistaken for one without changes.
  const freshMs = FRESH_MS - board.readMirrorAge();
  const askedMs = Number(query.get('wait') ?? 0);
  const waitMs = Math.min(POLL_MS, askedMs, freshMs);
  const isBehind = after.era > mirror.era;
  const isBusy = askedMs > 0 && declinesPolls(board);
  if (board.stopping || isBehind || isBusy) {
    count(board, 'state_declined');
    res.writeHead(503, {'content-length': 0}).end();
    return;
  }
  if (hasNews(mirror, after) || !(waitMs > 0)) {
    answer();
    return;
  }
  const {pendingPolls} = board;
  const arrivedAt = board.now();
  const finish = (): void => {
    clearTimeout(timer);
    pendingPolls.delete(poll);
    const heldMs = board.now() - arrivedAt;
    if (!res.destroyed) answer(heldMs);
  };
  const timer = setTimeout(finish, waitMs);
  const matchedAt = arrivedAt - board.readMirrorAge();
  const poll: PendingPoll = {matchedAt, finish};
  pendingPolls.add(poll);
  res.once('close', () => {
    clearTimeout(timer);
    pendingPolls.delete(poll);
  });
}

/** Monotonic time of the latest answer on each connection of a peer, ms. */
const lastAnswers = new WeakMap<Socket, number>();

function recordPoll(board: SidecarBoard, socket: Socket): void {
  const answeredAt = lastAnswers.get(socket);
  if (answeredAt === undefined) return;
  lastAnswers.delete(socket);
  const now = board.now();
  const turnaroundMs = now - answeredAt;
  if (!recordTurnaround(board.pollTurnaround, turnaroundMs, now)) return;
  board.log.write('always', 'readerSlow', {
    turnaroundMs: Math.round(turnaroundMs),
    lagMs: Math.round(board.lag.read()),
    forMs: DECLINE_MS,
  });
}

/** True when peers had better ask a daemon that is less busy. */
function declinesPolls({pollTurnaround, lag, now}: SidecarBoard): boolean {
  return now() < pollTurnaround.declineUntil || lag.read() >= OVERLOAD_LAG_MS;
}

function answerState(
  board: SidecarBoard,
  after: StorePosition,
  res: ServerResponse,
  heldMs = 0,
): void {
  count(board, 'state_served');
  if (res.socket) lastAnswers.set(res.socket, board.now());
  const ageMs = board.readMirrorAge();
  if (!Number.isFinite(ageMs) && board.mirror.revision === undefined) {
    res.writeHead(503, {'content-length': 0}).end();
    return;
  }
  const headers = {
    [HEADERS.ageMs]: String(Math.min(Math.ceil(ageMs), MAX_AGE_MS)),
    [HEADERS.heldMs]: String(Math.floor(heldMs)),
    ...(board.isStoreLost() ? {[HEADERS.storeLost]: '1'} : {}),
  };
  const body = packState(board, after);
  if (!body) {
    const {revision = -1, era} = board.mirror;
    res.writeHead(204, {
      ...headers,
      [HEADERS.revision]: String(revision),
      ...(era > 0 && {[HEADERS.era]: String(era)}),
    });
    res.end();
    return;
  }
  res.writeHead(200, {...headers, 'content-length': body.length});
  res.end(body);
}

/**
 * Packs the state since a position, or returns the cached one: most peers have
 * the same revision. It is compressed because a configuration is large and
 * repetitive, and one reader sends it to many peers over its link. Returns
 * undefined when nothing is newer.
 */
function packState(
  board: SidecarBoard,
  after: StorePosition,
): Buffer | undefined {
  const {mirror, packedStates} = board;
  const {era, contentRevision} = mirror;
  if (!hasNews(mirror, after)) return undefined;
  if (packedStates.era !== era || packedStates.revision !== contentRevision) {
    packedStates.era = era;
    packedStates.revision = contentRevision;
    packedStates.byAfter.clear();
  }
  // A daemon with an earlier era gets all items.
  const since = after.era < era ? -1 : after.revision;
  const cached = packedStates.byAfter.get(since);
  if (cached) return cached;
  const body = deflateRawSync(pack(readMirror(mirror, since)), {level: 1});
  if (packedStates.byAfter.size < MAX_PACKED_STATES) {
    packedStates.byAfter.set(since, body);
  }
  return body;
}

function inflate(body: Buffer): Buffer {
  return inflateRawSync(body, {maxOutputLength: MAX_STATE_BYTES});
}

/** Answers all pending long polls. */
export function answerPendingPolls({pendingPolls}: SidecarBoard): void {
  for (const {finish} of [...pendingPolls]) finish();
}

/** Answers the long polls of peers whose copies are older than this one; called
 * when it was confirmed without a change. */
export function answerOldPolls(board: SidecarBoard): void {
  const oldestMs = board.now() - board.readMirrorAge() - MIN_PROGRESS_MS;
  for (const {matchedAt, finish} of [...board.pendingPolls]) {
    if (matchedAt <= oldestMs) finish();
  }
}

/** Creates the access to the copies of the store at peers. */
export function createStorePeers(
  board: SidecarBoard,
  client: HttpClient,
): StorePeers {
  const {settings} = board;
  const own = `${settings.host}:${settings.peerPort}`;
  let ranked: readonly string[] = [];
  let rankedVersion = -1;
  return {
    own,
    rank: () => {
      const {version} = board.list;
      if (version !== rankedVersion) {
        const candidates = listReaderCandidates(board);
        ranked = rankSources(settings.dataCentre, candidates, own);
        rankedVersion = version;
      }
      return ranked;
    },
    pickAny: () => pickAny(board),
    ask: (address, after, waitMs) =>
      askPeer(board, client, address, after, waitMs),
  };
}

/** Addresses of the daemons that are expected to stay, by data centre. */
function listReaderCandidates({
  list,
  settings,
}: SidecarBoard): Map<string, string[]> {
  const candidates = new Map<string, string[]>();
  for (const {host, dataCentre, state, expiresAt} of listUpstreams(list)) {
    if (state !== 'live' || expiresAt !== undefined) continue;
    const group = candidates.get(dataCentre) ?? [];
    const address = `${host}:${settings.peerPort}`;
    if (!group.includes(address)) group.push(address);
    candidates.set(dataCentre, group);
  }
  return candidates;
}

/**
 * Picks the address of a peer at random: another data centre often still
 * reaches the store when this one does not.
 */
function pickAny(board: SidecarBoard): string | undefined {
  const {settings, list, random} = board;
  const own = `${settings.host}:`;
  const hosts = listHosts(list);
  const addresses =
    hosts.length > 1
      ? hosts.map(host => `${host}:${settings.peerPort}`)
      : settings.seeds;
  const peers = addresses.filter(address => !address.startsWith(own));
  return peers[Math.floor(random() * peers.length)];
}

async function askPeer(
  board: SidecarBoard,
  client: HttpClient,
  address: string,
  {era, revision}: StorePosition,
  waitMs: number,
): Promise<PeerUpdate | 'declined' | undefined> {
  const path = `${STATE_PATH}?after=${revision}&wait=${waitMs}&era=${era}`;
  const request = {method: 'GET', path, headers: [], body: undefined};
  const sentAt = board.now();
  const call = client.send(`http://${address}`, request, sentAt);
  const cancelTimeout = setReplyTimeout(
    () => call.abort(),
    waitMs + ANSWER_MARGIN_MS,
  );
  const result = await call.result;
  cancelTimeout();
  count(board, `peer_asked_${result.kind}`);
  if (result.kind !== 'answer') return undefined;
  const {status, headers, body} = result.answer;
  if (status === 503) return 'declined';
  if (headers[HEADERS.storeLost] !== undefined) {
    board.outageToldAt = board.now();
  }
  const answeredAgeMs = Number(readHeader(headers, HEADERS.ageMs) ?? NaN);
  const heldMs = Number(readHeader(headers, HEADERS.heldMs) ?? 0);
  // The answer may have been given as soon as the request was sent and held.
  const matchedAt = Math.min(board.now(), sentAt + heldMs) - answeredAgeMs;
  if (!Number.isFinite(matchedAt)) return undefined;
  if (status !== 200) {
    const answeredEra = parseEra(readHeader(headers, HEADERS.era));
    return {
      matchedAt,
      state: undefined,
      revision: readRevision(headers),
      ...(answeredEra !== undefined && {era: answeredEra}),
    };
  }
  const state = decodeState(board, address, body);
  return state && {matchedAt, state};
}

function readRevision(headers: IncomingHttpHeaders): number | undefined {
  const revision = Number(readHeader(headers, HEADERS.revision) ?? NaN);
  return Number.isSafeInteger(revision) && revision >= 0 ? revision : undefined;
}

function decodeState(
  board: SidecarBoard,
  address: string,
  body: Buffer,
): MirrorState | undefined {
  try {
    return mirrorStateSchema.parse(unpack(inflate(body)));
  } catch (err) {
    count(board, 'peer_state_malformed');
    board.log.write('notable', 'peerStateMalformed', {
      peer: address,
      reason: (err as Error).message,
    });
    return undefined;
  }
}
