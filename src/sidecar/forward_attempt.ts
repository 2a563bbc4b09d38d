import {
  type ListedUpstream,
  type MeshRoute,
  combineOutcomes,
  count,
  ejectTarget,
  excludeTarget,
  listService,
  markTargetFull,
  recordTargetEnd,
  recordTargetSend,
  spendResend,
} from '../internal.js';
import {recordLatency} from '../daemon/metrics.js';
import {
  findStatedLimit,
  isLeaving,
  recordLeaving,
  recordStatedLimit,
} from './announcements.js';
import {recordAnswerBytes} from './answer_budget.js';
import type {SidecarBoard} from './board.js';
import {type EntryState, type Exchange, MAX_FORWARDS} from './exchange.js';
import {finishAnswered, finishFailed, logResend} from './finish.js';
import type {ForwardReply, ForwardRequest} from './forward.js';
import {sendForward} from './forward_http.js';
import type {HttpAnswer} from './http_client.js';
import {awaitPeerReply} from './peer_probe.js';
import {choosePlace, getExpectedWork, recordAnswerCost} from './placement.js';

/**
 * Refusals for lack of slots after which a request is refused: the upstreams
 * with the least load were asked, so the others are probably full too. Cold
 * upstreams do not count, since those of other data centres may have room.
 */
const MAX_FULL_REFUSALS = 2;

/** Minimum time left for a resend, ms; a typical request takes that long. */
const MIN_RESEND_REMAINING_MS = 20;

/** Time for which an upstream is excluded once its owner refused a request as
 * leaving or as the wrong owner, ms. */
const LEAVING_EXCLUSION_MS = 1_500;

/** Time for which an upstream is excluded once its owner refused a request
 * because it may miss updates, ms. */
const STALE_EXCLUSION_MS = 500;

/** Mean size of request and answer above which another data centre is not
 * chosen to save a little time, bytes: traffic between them costs most. */
const LARGE_EXCHANGE_BYTES = 4_096;

/** Smoothing factor of a route's mean size of request plus answer. */
const BYTES_GAIN = 0.1;

/** Chooses the upstream of the next attempt; undefined when none is left. */
export function pickUpstream(
  {board}: EntryState,
  exchange: Exchange,
): ListedUpstream | undefined {
  if (exchange.forwards >= MAX_FORWARDS) return undefined;
  if (exchange.fullRefusals >= MAX_FULL_REFUSALS) return undefined;
  const now = board.now();
  if (now >= Math.min(exchange.deadlineAt, board.exitAt)) return undefined;
  const listed = listService(board.list, exchange.service);
  return choosePlace(
    board,
    exchange,
    listed.filter(upstream => !isLeaving(board, upstream)),
    hasLargeMessages(board, exchange.route),
  );
}

/** True when the requests and answers of a route are large on average. */
function hasLargeMessages(
  board: SidecarBoard,
  route: MeshRoute | undefined,
): boolean {
  return (board.routeBytes.get(route?.name ?? '') ?? 0) > LARGE_EXCHANGE_BYTES;
}

function recordRouteBytes(
  board: SidecarBoard,
  exchange: Exchange,
  answer: HttpAnswer,
): void {
  const name = exchange.route?.name ?? '';
  const bytes = (exchange.body?.length ?? 0) + answer.body.length;
  const meanBytes = board.routeBytes.get(name) ?? bytes;
  board.routeBytes.set(name, meanBytes + BYTES_GAIN * (bytes - meanBytes));
  if (answer.status < 300) {
    recordAnswerBytes(board.answers, name, answer.body.length);
  }
}

/** Forwards the request to the owner of an upstream; awaits the result. */
export async function attemptForward(
  state: EntryState,
  exchange: Exchange,
  upstream: ListedUpstream,
): Promise<ForwardReply> {
  const {board, owner, client} = state;
  const {route, req, goalAt, deadlineAt} = exchange;
  const now = board.now();
  const request: ForwardRequest = {
    requestId: exchange.id,
    method: req.method ?? 'GET',
    target: req.url ?? '/',
    headers: exchange.headers,
    body: exchange.body,
    upstreamId: upstream.id,
    route: route?.name ?? '',
    rank: exchange.rank,
    organisation: exchange.organisation?.name,
    goalMs: goalAt - now,
    remainingMs: Math.min(deadlineAt, board.exitAt) - now,
    fingerprint: exchange.fingerprint,
    statedPerS: findStatedLimit(board, upstream),
    costMs: getExpectedWork(exchange),
  };
  exchange.tried.add(upstream.id);
  exchange.forwards++;
  exchange.upstreamId = upstream.id;
  recordTargetSend(board.balance, upstream.id);
  const {settings} = board;
  const isLocal =
    upstream.host === settings.upstream.host &&
    upstream.port === settings.upstream.port;
  const call = isLocal
    ? owner.submit(request)
    : sendForward(client, upstream, settings.peerPort, request, now);
  exchange.call = call;
  const repeatable = route?.repeatable ?? false;
  const reply = await (isLocal
    ? call.result
    : awaitPeerReply(board, upstream, call, repeatable));
  exchange.call = undefined;
  const endedAt = board.now();
  recordTargetEnd(board.balance, upstream.id, reply.report, endedAt);
  if (!isLocal) recordHop(board, reply, endedAt - now);
  return reply;
}

/** Records the time of a forwarded request without the time at its owner. */
function recordHop(
  {metrics}: SidecarBoard,
  reply: ForwardReply,
  elapsedMs: number,
): void {
  if (reply.heldMs === undefined) return;
  const bytes = reply.kind === 'answer' ? reply.answer.body.length : 0;
  const name = bytes > LARGE_EXCHANGE_BYTES ? 'hop_large' : 'hop';
  recordLatency(metrics, name, elapsedMs - reply.heldMs);
}

/** Handles the result of an attempt; returns true if the request has ended. */
export function handleReply(
  state: EntryState,
  exchange: Exchange,
  upstream: ListedUpstream,
  reply: ForwardReply,
  isolated: boolean,
): boolean {
  const {board} = state;
  const now = board.now();
  switch (reply.kind) {
    case 'answer':
      exchange.attempts++;
      recordRouteBytes(board, exchange, reply.answer);
      recordAnswerCost(board, exchange, upstream, reply);
      recordLeaving(board, upstream, reply.answer);
      recordStatedLimit(board, upstream, reply.answer);
      if (
        reply.answer.status < 500 ||
        !claimResend(state, exchange, isolated)
      ) {
        finishAnswered(state, exchange, reply.answer);
        return true;
      }
      exchange.errorAnswer?.release();
      exchange.errorAnswer = reply.answer;
      logResend(state, exchange, 'answered', String(reply.answer.status));
      return false;
    case 'unsent':
      ejectUnreachable(state, upstream, reply.code, now);
      exchange.outcome = combineOutcomes(exchange.outcome, 'connectFailed');
      return false;
    case 'refused':
      return handleRefusal(state, exchange, upstream, reply, isolated);
    case 'broken':
      if (reply.report === undefined) {
        ejectUnreachable(state, upstream, reply.code, now);
      }
      exchange.attempts++;
      exchange.outcome = reply.outcome;
      if (!claimResend(state, exchange, isolated)) {
        finishFailed(state, exchange, reply.outcome);
        return true;
      }
      logResend(state, exchange, reply.outcome, reply.code);
      return false;
    case 'aborted':
      return true;
  }
}

function handleRefusal(
  state: EntryState,
  exchange: Exchange,
  upstream: ListedUpstream,
  reply: Extract<ForwardReply, {kind: 'refused'}>,
  isolated: boolean,
): boolean {
  const {board} = state;
  const {outcome, reachedUpstream, retryAfterMs} = reply;
  exchange.outcome = combineOutcomes(exchange.outcome, outcome);
  if (retryAfterMs > 0) {
    exchange.retryAfterMs = Math.min(exchange.retryAfterMs, retryAfterMs);
  }
  if (outcome === 'leaving' || outcome === 'wrongOwner') {
    excludeTarget(
      board.balance,
      upstream.id,
      LEAVING_EXCLUSION_MS,
      board.now(),
    );
  } else if (outcome === 'staleView') {
    const {balance, now} = board;
    excludeTarget(balance, upstream.id, STALE_EXCLUSION_MS, now());
  } else if (outcome === 'full' || outcome === 'cold') {
    if (outcome === 'full') exchange.fullRefusals++;
    const {balance, now} = board;
    markTargetFull(balance, upstream.id, exchange.rank, retryAfterMs, now());
  } else if (outcome === 'shed' && !reachedUpstream) {
    // The other upstreams make the same calls.
    exchange.fullRefusals++;
  } else if (outcome === 'upstreamDown') {
    ejectTarget(board.balance, upstream.id, board.now());
  }
  if (!reachedUpstream) return false;
  exchange.attempts++;
  if (claimResend(state, exchange, isolated, true)) return false;
  finishFailed(state, exchange, exchange.outcome);
  return true;
}

function ejectUnreachable(
  {board}: EntryState,
  upstream: ListedUpstream,
  code: string,
  now: number,
): void {
  const ms = ejectTarget(board.balance, upstream.id, now);
  if (ms === 0) return;
  count(board, 'entry_ejections');
  board.log.write('notable', 'ejected', {
    upstream: upstream.id,
    host: upstream.host,
    code,
    ms,
  });
}

/** True when the request may be resent, which an isolated run never is; spends
 * the resend budget. */
function claimResend(
  {board}: EntryState,
  exchange: Exchange,
  isolated: boolean,
  notRun = false,
): boolean {
  const {route, attempts, deadlineAt, forwards} = exchange;
  if (!route || isolated || !(route.repeatable || notRun)) return false;
  if (attempts >= route.attempts || forwards >= MAX_FORWARDS) return false;
  if (deadlineAt - board.now() < MIN_RESEND_REMAINING_MS) return false;
  if (!spendResend(board.resends, exchange.service)) {
    count(board, 'entry_resends_denied');
    return false;
  }
  count(board, 'entry_resends');
  return true;
}
