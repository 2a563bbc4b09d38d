import {recordLatency} from '../daemon/metrics.js';
import {
  API_KEY_CHALLENGE,
  OUTCOMES,
  type Outcome,
  classifyCopy,
  count,
  countOrganisationEnd,
  formatReason,
  listService,
  recordRefusedCall,
} from '../internal.js';
import {writeAnswer} from './answer_writer.js';
import {
  MAX_LOGGED_MS,
  type SidecarBoard,
  readCopyStatus,
  readPosition,
} from './board.js';
import type {LineFields} from './decision_log.js';
import type {EntryState, Exchange} from './exchange.js';
import {copyAnswerHeaders} from './header_copy.js';
import type {HttpAnswer} from './http_client.js';
import {hasBody} from './inbound.js';
import {describeQuota, returnUnusedToken} from './quotas.js';

/** Minimum `retry-after` of a refusal, ms. */
const MIN_RETRY_AFTER_MS = 50;

/** Maximum `retry-after` of a refusal, ms. */
const MAX_RETRY_AFTER_MS = 1_000;

/** Retry time when no refusal named one, ms: an upstream may become available
 * within it. */
const DEFAULT_RETRY_AFTER_MS = 300;

/** Ends a request for which no upstream is left. */
export function finishUnserved(state: EntryState, exchange: Exchange): void {
  const {errorAnswer, outcome} = exchange;
  if (errorAnswer) return finishAnswered(state, exchange, errorAnswer);
  const {board} = state;
  const listed = listService(board.list, exchange.service);
  const hasLive = listed.some(
    ({state, dataCentre}) =>
      state === 'live' && !board.list.takenOut.has(dataCentre),
  );
  finishRefused(state, exchange, outcome ?? (hasLive ? 'full' : 'noUpstream'));
}

/** Ends a request whose last attempt failed: with the error answer of an earlier
 * one, if there is any, else with a refusal. */
export function finishFailed(
  state: EntryState,
  exchange: Exchange,
  outcome: Outcome,
): void {
  const {errorAnswer} = exchange;
  if (errorAnswer) finishAnswered(state, exchange, errorAnswer);
  else finishRefused(state, exchange, outcome);
}

/** Ends the handling of a request, which needs its body no more. */
function endExchange(exchange: Exchange): void {
  exchange.ended = true;
  exchange.releaseBody?.();
  exchange.body = undefined;
}

/** Sends an upstream's answer to the customer. */
export function finishAnswered(
  state: EntryState,
  exchange: Exchange,
  answer: HttpAnswer,
): void {
  if (exchange.ended) return answer.release();
  endExchange(exchange);
  // The error answer of an earlier attempt is not needed any more.
  if (exchange.errorAnswer !== answer) exchange.errorAnswer?.release();
  exchange.errorAnswer = undefined;
  const {status, headers, body} = answer;
  const {req, res} = exchange;
  // Also when the head can't be written.
  res.once('close', answer.release);
  const copy = copyAnswerHeaders(headers);
  const bodiless = req.method === 'HEAD' || status === 204 || status === 304;
  // Also when the upstream stated none: the end of this process looks like the end
  // of a body without a length.
  if (!bodiless) copy['content-length'] = String(body.length);
  else if (headers['content-length'] !== undefined) {
    copy['content-length'] = headers['content-length'];
  }
  announceClose(state, exchange);
  res.writeHead(status, copy);
  writeAnswer(state.board.answers, answer, res, exchange.customerExpiresAt);
  count(state.board, 'entry_answered');
  const elapsedMs = state.board.now() - exchange.startedAt;
  recordLatency(state.board.metrics, 'answers', elapsedMs);
  logRequest(state, exchange, 'answered', status);
}

/** Ends a request with a refusal; `outcome` says whether it may have run. */
export function finishRefused(
  state: EntryState,
  exchange: Exchange,
  outcome: Outcome,
): void {
  if (exchange.ended) return;
  endExchange(exchange);
  const {board} = state;
  const {res, req} = exchange;
  const {status} = OUTCOMES[outcome];
  const headers: Record<string, string> = {'content-length': '0'};
  if (status === 503) {
    headers['retry-after'] = computeRetryAfter(board, exchange);
    recordShortage(board, exchange, outcome);
  } else if (outcome === 'overQuota') {
    headers['retry-after'] = formatRetryAfter(Math.ceil(exchange.retryAfterMs));
  }
  returnUnusedToken(board, exchange, outcome);
  if (status === 401) Object.assign(headers, API_KEY_CHALLENGE);
  count(board, `entry_refused_${outcome}`);
  logRequest(state, exchange, outcome, status);
  // An unread body would be parsed as the next request.
  const isUnread = hasBody(req) && !req.complete;
  if (isUnread) headers.connection = 'close';
  announceClose(state, exchange);
  res.writeHead(status, headers);
  res.end();
  if (isUnread) req.resume();
}

/** Outcomes of requests for which there was no room. */
const SHORTAGES: ReadonlySet<Outcome> = new Set([
  'full',
  'cold',
  'deadlineTooShort',
]);

/** Records a request that was refused for lack of room; it may be a call of the local
 * upstream. What an upstream itself refuses says nothing about room. */
function recordShortage(
  {callFailures, now}: SidecarBoard,
  {attempts}: Exchange,
  outcome: Outcome,
): void {
  if (!callFailures || attempts > 0 || !SHORTAGES.has(outcome)) return;
  recordRefusedCall(callFailures, now());
}

/**
 * Ends a request whose handling threw: the error of one request must not end the
 * process, nor leave its customer without an answer.
 */
export function finishFaulty(
  state: EntryState,
  exchange: Exchange,
  err: Error,
): void {
  const {board} = state;
  const {res, call} = exchange;
  count(board, 'entry_errors');
  board.log.write('notable', 'entryError', {
    request: exchange.id,
    error: err.message,
  });
  call?.abort();
  if (res.writableEnded || res.destroyed) return;
  if (res.headersSent) {
    res.destroy();
    return;
  }
  // The error may have come after the request was marked as ended.
  exchange.ended = false;
  try {
    // The request may have reached an upstream.
    finishRefused(state, exchange, 'connectionBroken');
  } catch {
    res.destroy();
  }
}

/** Tells a customer of a stopping daemon not to reuse the connection, unless
 * later requests of it have been read. */
function announceClose({board}: EntryState, {res, turn}: Exchange): void {
  if (board.stopping && turn.isLast()) res.setHeader('connection', 'close');
}

/** Value of `retry-after`: seconds with three decimals. */
function computeRetryAfter(board: SidecarBoard, exchange: Exchange): string {
  const {retryAfterMs, customerDeadlineAt} = exchange;
  const hintMs = Number.isFinite(retryAfterMs)
    ? retryAfterMs
    : DEFAULT_RETRY_AFTER_MS;
  // Jitter keeps refused customers from retrying all at once.
  const jitteredMs = hintMs * (1 + board.random());
  const remainingMs = Math.max(0, customerDeadlineAt - board.now());
  const maxMs = Math.max(
    MIN_RETRY_AFTER_MS,
    Math.min(MAX_RETRY_AFTER_MS, remainingMs / 3),
  );
  const ms = Math.min(maxMs, Math.max(MIN_RETRY_AFTER_MS, jitteredMs));
  return formatRetryAfter(ms);
}

/** Seconds with three decimals. */
function formatRetryAfter(ms: number): string {
  return (ms / 1_000).toFixed(3);
}

/** Maximum number of routes with counters of their own. */
const MAX_COUNTED_ROUTES = 64;

/** Counts the end of a request by route, and by organisation if it has one, and
 * outcome; calls of upstreams have routes of their own. */
function countEnd(
  board: SidecarBoard,
  {route, organisation, keyFault}: Exchange,
  outcome: Outcome | 'cancelled',
  status: number,
): void {
  const {countedRoutes, organisations} = board;
  const name = route?.name ?? '';
  if (countedRoutes.size < MAX_COUNTED_ROUTES) countedRoutes.add(name);
  const counted = countedRoutes.has(name) ? name : 'other';
  const failed = outcome === 'answered' && status >= 500;
  const result = failed ? 'failed' : outcome;
  count(board, `route_${counted}_${result}`);
  if (organisation) {
    countOrganisationEnd(organisations, organisation.name, result);
  }
  if (keyFault) count(board, `entry_key_${keyFault}`);
}

/** Logs a resend. */
export function logResend(
  {board}: EntryState,
  exchange: Exchange,
  reason: string,
  code: string,
): void {
  board.log.write('notable', 'resend', {
    request: exchange.id,
    route: exchange.route?.name,
    upstream: exchange.upstreamId,
    reason,
    code,
    arrivals: exchange.attempts,
  });
}

/** Outcomes that follow from the copy of the store alone. */
const COPY_OUTCOMES: ReadonlySet<Outcome | 'cancelled'> = new Set([
  'unknownRoute',
  'unauthorised',
  'tooLarge',
  'staleView',
] as const);

/** What the daemon knew of the age of its copy, for the line of a refusal. */
function describeCopy(board: SidecarBoard): LineFields {
  const status = readCopyStatus(board);
  const {ageMs, outageToldAgoMs} = status;
  return {
    copy: classifyCopy(status),
    copyAgeMs: Math.round(Math.min(ageMs, MAX_LOGGED_MS)),
    outageToldAgoMs: Math.round(Math.min(outageToldAgoMs, MAX_LOGGED_MS)),
    ...readPosition(board),
  };
}

/** Logs the end of a request; `cancelled` when the customer disconnected. */
export function logRequest(
  {board}: EntryState,
  exchange: Exchange,
  outcome: Outcome | 'cancelled',
  status: number,
): void {
  const {route, organisation, readAt, startedAt, deadlineAt, allowedMs} =
    exchange;
  const now = board.now();
  countEnd(board, exchange, outcome, status);
  const routine = outcome === 'answered' && status < 500;
  board.log.write(routine ? 'routine' : 'notable', 'request', {
    request: exchange.id,
    outcome: formatReason(outcome as Outcome),
    status,
    route: route?.name,
    organisation: organisation?.name,
    keyFault: exchange.keyFault,
    ...(COPY_OUTCOMES.has(outcome) && describeCopy(board)),
    service: exchange.service,
    version: exchange.version,
    upstream: exchange.upstreamId,
    offers: exchange.forwards,
    arrivals: exchange.attempts,
    ms: Math.round(now - startedAt),
    leftMs: Number.isFinite(deadlineAt)
      ? Math.round(deadlineAt - now)
      : undefined,
    // Negative from the moment at which the customer, or the operator's timeout,
    // allows no more time.
    allowedLeftMs:
      routine || allowedMs === undefined
        ? undefined
        : Math.round(readAt + allowedMs - now),
    stopping: board.stopping || undefined,
    ...describeQuota(exchange),
  });
}
