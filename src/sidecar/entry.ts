import {
  startIsolatedRun,
  computeFingerprint,
  count,
  endIsolatedRun,
  classifyRequest,
} from '../internal.js';
import type {SidecarBoard} from './board.js';
import {type EntryState, type Exchange, beginExchange} from './exchange.js';
import {finishRefused, finishUnserved} from './finish.js';
import {checkHead, receiveBody} from './head.js';
import {createHttpClient} from './http_client.js';
import {offer, pickUpstream, takeReply} from './offer.js';
import type {Owner} from './owner.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';

/** Connections to one other daemon, at most. */
const PEER_CONNECTIONS = 200;

/** Longest wait for a connection to another daemon, ms. */
const PEER_CONNECT_MS = 250;

/** Time after which an idle connection to another daemon is closed, ms; the
 * other side closes later, so that no request meets a closing connection. */
const PEER_KEEP_ALIVE_MS = 10_000;

/** Handler of customers' requests. */
export interface Entry {
  (req: IncomingMessage, res: ServerResponse): void;
  /** True while a request of the connection is in progress. */
  isBusy(socket: Duplex): boolean;
  /** Requests in progress. */
  countRunning(): number;
  close(): Promise<void>;
}

/** Creates the handler of customers' requests. */
export function createSidecarEntry(board: SidecarBoard, owner: Owner): Entry {
  const state: EntryState = {
    board,
    owner,
    client: createHttpClient({
      connections: PEER_CONNECTIONS,
      connectTimeoutMs: PEER_CONNECT_MS,
      keepAliveMs: PEER_KEEP_ALIVE_MS,
    }),
    running: 0,
    busy: new WeakSet(),
    bodyBytes: 0,
  };
  const handle = (req: IncomingMessage, res: ServerResponse): void => {
    const exchange = beginExchange(state, req, res);
    serve(state, exchange).catch((err: Error) => {
      count(board, 'entry_errors');
      board.log.write('notable', 'entryError', {
        request: exchange.id,
        error: err.message,
      });
      // Whether a byte was sent is not known here.
      if (!res.headersSent) finishRefused(state, exchange, 'connectionBroken');
      else res.destroy();
    });
  };
  return Object.assign(handle, {
    isBusy: (socket: Duplex) => state.busy.has(socket),
    countRunning: () => state.running,
    close: () => state.client.close(),
  });
}

async function serve(state: EntryState, exchange: Exchange): Promise<void> {
  const {board} = state;
  const {table} = board;
  if (!table || !board.list.complete) {
    return finishRefused(state, exchange, 'noConfig');
  }
  if (board.closed) return finishRefused(state, exchange, 'leaving');
  const bad = checkHead(state, exchange, table);
  if (bad) return finishRefused(state, exchange, bad);
  const {limits} = table.config;
  const body = await receiveBody(state, exchange, limits.bodyBytes);
  if (exchange.over) return;
  if (typeof body === 'string') return finishRefused(state, exchange, body);
  exchange.body = body;
  const {req} = exchange;
  exchange.fingerprint = computeFingerprint(
    `${req.method} ${board.settings.service}`,
    req.url ?? '',
    body ?? Buffer.alloc(0),
  );
  await dispatch(state, exchange);
}

/** Offers the request to upstreams until it is answered or refused. */
async function dispatch(state: EntryState, exchange: Exchange): Promise<void> {
  const {board} = state;
  const now = board.now();
  if (now >= exchange.limitAt) {
    return finishRefused(state, exchange, 'deadlineTooShort');
  }
  const judgement = classifyRequest(board.suspects, exchange.fingerprint, now);
  if (judgement.action === 'refuse' || judgement.action === 'wait') {
    exchange.retryAfterMs = Math.max(judgement.retryAfterMs, 500);
    return finishRefused(state, exchange, 'suspectHeld');
  }
  const alone = judgement.action === 'alone';
  if (alone) startIsolatedRun(board.suspects, exchange.fingerprint);
  exchange.timer = setTimeout(
    () => expire(state, exchange),
    exchange.limitAt - now,
  );
  try {
    while (!exchange.over) {
      const upstream = pickUpstream(state, exchange);
      if (!upstream) {
        finishUnserved(state, exchange);
        return;
      }
      const reply = await offer(state, exchange, upstream);
      if (exchange.over) return;
      if (takeReply(state, exchange, upstream, reply, alone)) return;
    }
  } finally {
    if (alone) endIsolatedRun(board.suspects, exchange.fingerprint);
  }
}

/** Ends a request whose time is over. */
function expire(state: EntryState, exchange: Exchange): void {
  if (exchange.over) return;
  const {call} = exchange;
  if (!call) {
    finishRefused(state, exchange, exchange.outcome ?? 'deadlineTooShort');
    return;
  }
  // Whether it has run is known only to the other side.
  finishRefused(state, exchange, 'deadlineAfterSend');
  call.abort();
}
