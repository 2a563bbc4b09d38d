import {
  startIsolatedRun,
  computeFingerprint,
  count,
  endIsolatedRun,
  classifyRequest,
  combineOutcomes,
  setReplyTimeout,
} from '../internal.js';
import type {RequestTurn} from '../daemon/customer_server.js';
import {hasAnswerRoom} from './answer_budget.js';
import {type SidecarBoard, isOverdue} from './board.js';
import {type EntryState, type Exchange, beginExchange} from './exchange.js';
import {
  finishFailed,
  finishFaulty,
  finishRefused,
  finishUnserved,
} from './finish.js';
import {checkHead, receiveBody} from './head.js';
import {createHttpClient} from './http_client.js';
import {attemptForward, pickUpstream, handleReply} from './forward_attempt.js';
import {checkQuota} from './quotas.js';
import type {Owner} from './owner.js';
import type {IncomingMessage, ServerResponse} from 'node:http';

/** Maximum connections to another daemon. */
const MAX_PEER_CONNECTIONS = 200;

const PEER_CONNECT_TIMEOUT_MS = 250;

/** Idle time after which a connection to another daemon is closed, ms. The
 * server closes later, so no request is sent on a closing connection. */
const PEER_KEEP_ALIVE_MS = 10_000;

/** Time by which a timer may fire early, ms: Node's timers count whole ones. */
const TIMER_RESOLUTION_MS = 1;

/** Handler of customers' requests. */
export interface Entry {
  (req: IncomingMessage, res: ServerResponse, turn: RequestTurn): void;
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
      connections: MAX_PEER_CONNECTIONS,
      connectTimeoutMs: PEER_CONNECT_TIMEOUT_MS,
      keepAliveMs: PEER_KEEP_ALIVE_MS,
      budget: board.answers,
    }),
    running: 0,
  };
  const handle = (
    req: IncomingMessage,
    res: ServerResponse,
    turn: RequestTurn,
  ): void => {
    const exchange = beginExchange(state, req, res, turn);
    serve(state, exchange).catch((err: Error) =>
      finishFaulty(state, exchange, err),
    );
  };
  return Object.assign(handle, {
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
  if (isOverdue(board)) return finishRefused(state, exchange, 'staleView');
  if (!exchange.turn.hasHeadRoom) {
    count(board, 'entry_refused_head_memory');
    return finishRefused(state, exchange, 'full');
  }
  const refusal = checkHead(state, exchange, table);
  if (refusal) return finishRefused(state, exchange, refusal);
  startDeadline(state, exchange);
  if (exchange.organisation) {
    const overQuota = await checkQuota(state, exchange);
    if (exchange.ended) return;
    if (overQuota) return finishRefused(state, exchange, overQuota);
  }
  const {limits} = table.config;
  const body = await receiveBody(state, exchange, limits.bodyBytes);
  // Otherwise the request might crash another upstream.
  await board.crashRecords.starting;
  if (exchange.ended) return;
  if (typeof body === 'string') return finishRefused(state, exchange, body);
  // The body may have taken long; a request that starts now might be cut.
  if (board.closed) return finishRefused(state, exchange, 'leaving');
  exchange.body = body;
  const {req} = exchange;
  exchange.fingerprint = computeFingerprint(
    `${req.method} ${board.settings.service}`,
    req.url ?? '',
    body ?? Buffer.alloc(0),
  );
  await dispatch(state, exchange);
}

/** Forwards the request to upstreams until it is answered or refused. */
async function dispatch(state: EntryState, exchange: Exchange): Promise<void> {
  const {board} = state;
  const now = board.now();
  if (now >= exchange.deadlineAt) {
    return finishRefused(state, exchange, 'deadlineTooShort');
  }
  const classification = classifyRequest(
    board.suspects,
    exchange.fingerprint,
    now,
  );
  if (classification.action === 'refuse' || classification.action === 'wait') {
    exchange.retryAfterMs = Math.max(classification.retryAfterMs, 500);
    return finishRefused(state, exchange, 'suspectHeld');
  }
  const isolated = classification.action === 'alone';
  if (isolated) startIsolatedRun(board.suspects, exchange.fingerprint);
  try {
    while (!exchange.ended) {
      if (!hasAnswerRoom(board.answers, exchange.route?.name ?? '')) {
        count(board, 'entry_refused_memory');
        exchange.outcome = combineOutcomes(exchange.outcome, 'full');
        finishUnserved(state, exchange);
        return;
      }
      const upstream = pickUpstream(state, exchange);
      if (!upstream) {
        finishUnserved(state, exchange);
        return;
      }
      const reply = await attemptForward(state, exchange, upstream);
      if (exchange.ended) {
        if (reply.kind === 'answer') reply.answer.release();
        return;
      }
      try {
        if (handleReply(state, exchange, upstream, reply, isolated)) return;
      } catch (err) {
        if (reply.kind === 'answer') reply.answer.release();
        throw err;
      }
    }
  } finally {
    if (isolated) endIsolatedRun(board.suspects, exchange.fingerprint);
  }
}

/** Ends the request at its deadline, also while its body is read: a body that does
 * not end would hold memory for as long as its customer likes. */
function startDeadline(state: EntryState, exchange: Exchange): void {
  const waitMs = exchange.expiresAt - state.board.now();
  exchange.cancelTimeout = setReplyTimeout(
    () => {
      try {
        expire(state, exchange);
      } catch (err) {
        finishFaulty(state, exchange, err as Error);
      }
    },
    Math.ceil(waitMs) + TIMER_RESOLUTION_MS,
  );
}

/** Ends a request whose upstream has not answered by the deadline. */
function expire(state: EntryState, exchange: Exchange): void {
  if (exchange.ended) return;
  const {call} = exchange;
  if (!call) {
    finishRefused(state, exchange, exchange.outcome ?? 'deadlineTooShort');
    return;
  }
  // Only the owner knows whether the request has run.
  finishFailed(state, exchange, 'deadlineAfterSend');
  call.abort();
}
