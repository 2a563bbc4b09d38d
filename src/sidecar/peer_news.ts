import type {IncomingMessage, ServerResponse} from 'node:http';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {pack, unpack} from 'msgpackr';
import {
  count,
  FRESH_MS,
  HEADERS,
  listHosts,
  mirrorStateSchema,
  POLL_MS,
  rankReaders,
  readMirror,
  type MirrorState,
  type StorePeers,
  type PeerUpdate,
} from '../internal.js';
import type {SidecarBoard} from './board.js';
import {readHeader} from './header_copy.js';
import {createHttpClient, type HttpClient} from './http_client.js';

/** Path at which a daemon tells others what it knows of the store. */
export const STATE_PATH = '/.well-known/berylbend/state';

/** Time for the answer of a peer beyond its wait, ms. */
const ANSWER_MS = 400;

/** Longest wait for a connection to a peer, ms. */
const CONNECT_MS = 250;

/** Time after which an idle connection to a peer is closed, ms. */
const KEEP_ALIVE_MS = 10_000;

/** Largest state that is taken from a peer, bytes. */
const MAX_STATE_BYTES = 67_108_864;

/** Age that stands for every longer one, ms. */
const MAX_AGE_MS = 3_600_000;

/** Creates the client for questions to peers; it asks one at a time. */
export function createNewsClient(): HttpClient {
  return createHttpClient({
    connections: 1,
    connectTimeoutMs: CONNECT_MS,
    keepAliveMs: KEEP_ALIVE_MS,
  });
}

/**
 * Answers with what is newer than the revision in the query. A question with a
 * wait is held until something is, or until this daemon loses the store.
 */
export function serveState(
  board: SidecarBoard,
  req: IncomingMessage,
  res: ServerResponse,
): void {
  const query = new URLSearchParams((req.url ?? '').split('?')[1] ?? '');
  const after = Number(query.get('after') ?? -1);
  // What is not fresh must not pass for an answer without news.
  const freshMs = FRESH_MS - board.readNewsAge();
  const waitMs = Math.min(POLL_MS, Number(query.get('wait') ?? 0), freshMs);
  const known = board.mirror.revision ?? -1;
  if (board.stopping || known > after || !(waitMs > 0)) {
    answerState(board, after, res);
    return;
  }
  const {newsWaiters} = board;
  const finish = (): void => {
    clearTimeout(timer);
    newsWaiters.delete(finish);
    if (!res.destroyed) answerState(board, after, res);
  };
  const timer = setTimeout(finish, waitMs);
  newsWaiters.add(finish);
  res.once('close', () => {
    clearTimeout(timer);
    newsWaiters.delete(finish);
  });
}

function answerState(
  board: SidecarBoard,
  after: number,
  res: ServerResponse,
): void {
  count(board, 'state_served');
  if (board.stopping) {
    // Those that ask go to a daemon that stays.
    res.writeHead(503, {'content-length': 0}).end();
    return;
  }
  const ageMs = board.readNewsAge();
  if (!Number.isFinite(ageMs) && board.mirror.revision === undefined) {
    res.writeHead(503, {'content-length': 0}).end();
    return;
  }
  const headers = {
    [HEADERS.ageMs]: String(Math.min(Math.ceil(ageMs), MAX_AGE_MS)),
  };
  const state = readMirror(board.mirror, after);
  if (!state) {
    res.writeHead(204, headers).end();
    return;
  }
  const body = packState(board, after, state);
  res.writeHead(200, {...headers, 'content-length': body.length});
  res.end(body);
}

/**
 * Packs a state; most daemons that ask know the same revision. A configuration
 * is large and repetitive, and one reader's link carries it for many.
 */
function packState(
  board: SidecarBoard,
  after: number,
  state: MirrorState,
): Buffer {
  const {packedNews} = board;
  const {revision} = state;
  if (packedNews?.after === after && packedNews.revision === revision) {
    return packedNews.body;
  }
  const body = deflateRawSync(pack(state), {level: 1});
  board.packedNews = {after, revision, body};
  return body;
}

function inflate(body: Buffer): Buffer {
  return inflateRawSync(body, {maxOutputLength: MAX_STATE_BYTES});
}

/** Answers all peers that wait for news. */
export function wakeNewsWaiters({newsWaiters}: SidecarBoard): void {
  for (const finish of [...newsWaiters]) finish();
}

/** Creates the access to what other daemons know of the store. */
export function createNewsPeers(
  board: SidecarBoard,
  client: HttpClient,
): StorePeers {
  const {settings} = board;
  const own = `${settings.host}:${settings.peerPort}`;
  return {
    own,
    rank: () => rankReaders(settings.dataCentre, listNear(board), own),
    pickAny: () => pickAny(board),
    ask: (address, after, waitMs) =>
      askPeer(board, client, address, after, waitMs),
  };
}

/** Addresses of the daemons of the own data centre that are to stay. */
function listNear({list, settings}: SidecarBoard): Set<string> {
  const near = [...list.byId.values()].filter(
    ({dataCentre, state, expiresAt: goneAt}) =>
      dataCentre === settings.dataCentre &&
      state === 'live' &&
      goneAt === undefined,
  );
  return new Set(near.map(({host}) => `${host}:${settings.peerPort}`));
}

/**
 * Address of a daemon to ask, at random: another data centre often still
 * reaches the store when the own one does not.
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
  after: number,
  waitMs: number,
): Promise<PeerUpdate | undefined> {
  const path = `${STATE_PATH}?after=${after}&wait=${waitMs}`;
  const request = {method: 'GET', path, headers: [], body: undefined};
  const call = client.send(`http://${address}`, request, board.now());
  const timer = setTimeout(() => call.abort(), waitMs + ANSWER_MS);
  const result = await call.result;
  clearTimeout(timer);
  count(board, `peer_asked_${result.kind}`);
  if (result.kind !== 'answer') return undefined;
  const {status, headers, body} = result.answer;
  const ageMs = Number(readHeader(headers, HEADERS.ageMs) ?? NaN);
  if (!Number.isFinite(ageMs)) return undefined;
  if (status !== 200) return {ageMs, state: undefined};
  const state = readState(board, address, body);
  return state && {ageMs, state};
}

function readState(
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
