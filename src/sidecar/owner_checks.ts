import {
  type HeaderNames,
  type Outcome,
  computeShedShare,
  count,
  findByAddress,
  isCold,
  predictRunMs,
} from '../internal.js';
import {isLeaving} from './announcements.js';
import {hasAnswerRoom} from './answer_budget.js';
import {type SidecarBoard, isOverdue} from './board.js';
import type {ForwardRequest} from './forward.js';
import {readHeader} from './header_copy.js';
import type {AnswerHead} from './http_client.js';

/** Time after which a request that was refused for lack of memory may be sent
 * again, ms. */
export const MEMORY_RETRY_MS = 300;

/** Time after which a request that was refused as its calls would be may be sent
 * again, ms. */
export const SHED_RETRY_MS = 300;

/** Checks a request on arrival; returns the reason to refuse it, if any. */
export function checkArrival(
  board: SidecarBoard,
  request: ForwardRequest,
): Outcome | undefined {
  // A request admitted now might not end before the process exits.
  if (board.closed) return 'leaving';
  return (
    checkListing(board, request) ??
    checkMemory(board, request) ??
    checkCalls(board, request)
  );
}

/** Refuses a part of the requests whose calls are refused elsewhere. */
function checkCalls(
  {callFailures, random, now}: SidecarBoard,
  {route}: ForwardRequest,
): Outcome | undefined {
  if (!callFailures) return undefined;
  const share = computeShedShare(callFailures, route, now());
  return share > 0 && random() < share ? 'shed' : undefined;
}

/** Checks a request that was queued; returns the reason to refuse it, if any. */
export function checkStart(
  board: SidecarBoard,
  request: ForwardRequest,
): Outcome | undefined {
  const {limiter, now, exitAt} = board;
  if (now() + predictRunMs(limiter, request.route) > exitAt) return 'leaving';
  return checkListing(board, request) ?? checkMemory(board, request);
}

/** Refuses a request when there is no memory for its answer. */
function checkMemory(
  board: SidecarBoard,
  request: ForwardRequest,
): Outcome | undefined {
  if (hasAnswerRoom(board.answers, request.route)) return undefined;
  count(board, 'owner_refused_memory');
  return 'full';
}

/** Checks a request against the upstream list, which must be current; returns
 * the reason to refuse it, if any. */
export function checkListing(
  board: SidecarBoard,
  request: ForwardRequest,
): Outcome | undefined {
  const {list, settings} = board;
  if (isOverdue(board)) return 'staleView';
  if (list.takenOut.has(settings.dataCentre)) return 'dataCentreOut';
  const {host, port} = settings.upstream;
  const own = findByAddress(list, host, port);
  if (own && own.id !== request.upstreamId) return 'wrongOwner';
  if (own ? isLeaving(board, own) : list.complete) return 'leaving';
  return undefined;
}

/**
 * Classifies an answer: `own` is the upstream's answer to this request,
 * `notRun` its refusal to run it, `crossed` anything else.
 */
export function classifyAnswer(
  names: HeaderNames,
  requestId: string,
  {status, headers}: AnswerHead,
): 'own' | 'notRun' | 'crossed' {
  // An answer with another id, or none, may be a late copy of an earlier one
  // while this request is running; a status such as 503 would deny that.
  if (readHeader(headers, names.requestId) !== requestId) return 'crossed';
  if (headers[names.notRun] !== undefined || status === 421) return 'notRun';
  if (headers['content-encoding'] !== undefined) return 'crossed';
  const signed = headers[names.signature] !== undefined;
  return status >= 400 || signed ? 'own' : 'crossed';
}

/** Logs a refused request, with the state that led to the refusal. */
export function logRefusal(
  board: SidecarBoard,
  request: ForwardRequest,
  outcome: Outcome,
  reachedUpstream: boolean,
): void {
  const {limiter} = board;
  board.log.write('notable', 'ownerRefused', {
    request: request.requestId,
    outcome,
    arrived: reachedUpstream,
    upstream: request.upstreamId,
    route: request.route,
    rank: request.rank,
    inFlight: limiter.inFlight,
    queued: limiter.queue.length,
    slots: limiter.slots,
    meanMs: Math.round(limiter.meanMs),
    cold: isCold(limiter, board.now()),
    limitMs: Math.round(request.remainingMs),
    goalMs: Math.round(request.goalMs),
  });
}
