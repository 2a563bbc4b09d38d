import {
  type HeaderNames,
  type Outcome,
  findByAddress,
  isCold,
  predictRunMs,
} from '../internal.js';
import {isLeaving} from './announcements.js';
import {type SidecarBoard, isOverdue} from './board.js';
import type {ForwardRequest} from './forward.js';
import {readHeader} from './header_copy.js';
import type {AnswerHead} from './http_client.js';

/** Checks a request on arrival; returns the reason to refuse it, if any. */
export function checkArrival(
  board: SidecarBoard,
  request: ForwardRequest,
): Outcome | undefined {
  // A request admitted now might not end before the process exits.
  if (board.closed) return 'leaving';
  return checkListing(board, request);
}

/** Checks a request that was queued; returns the reason to refuse it, if any. */
export function checkStart(
  board: SidecarBoard,
  request: ForwardRequest,
): Outcome | undefined {
  const {limiter, now, exitAt} = board;
  if (now() + predictRunMs(limiter, request.route) > exitAt) return 'leaving';
  return checkListing(board, request);
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
  const id = readHeader(headers, names.requestId);
  // An answer with another id is a late answer to an earlier request.
  if (id !== undefined && id !== requestId) return 'crossed';
  if (headers[names.notRun] !== undefined || status === 421) {
    // Without an id it may be an earlier refusal that was written once more,
    // while this request is running.
    return id === undefined ? 'crossed' : 'notRun';
  }
  if (headers['content-encoding'] !== undefined) return 'crossed';
  const signed = headers[names.signature] !== undefined;
  if (status < 400 && (!signed || id === undefined)) return 'crossed';
  return 'own';
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
    inFlight: limiter.inFlight,
    queued: limiter.queue.length,
    slots: limiter.slots,
    meanMs: Math.round(limiter.meanMs),
    cold: isCold(limiter, board.now()),
    limitMs: Math.round(request.remainingMs),
    goalMs: Math.round(request.goalMs),
  });
}
