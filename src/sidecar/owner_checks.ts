import {type Outcome, findByAddress, isCold} from '../internal.js';
import type {SidecarBoard} from './board.js';
import type {ForwardRequest} from './forward.js';
import {readOne} from './header_copy.js';
import type {HttpAnswer} from './http_client.js';

/** Reasons not to take a request at all. */
export function checkArrival(
  board: SidecarBoard,
  request: ForwardRequest,
): Outcome | undefined {
  // What is taken now could not end before the process does.
  if (board.closed) return 'leaving';
  return checkListing(board, request);
}

/** Reasons not to run a request that follow from the platform's list. */
export function checkListing(
  board: SidecarBoard,
  request: ForwardRequest,
): Outcome | undefined {
  const {list, settings} = board;
  if (list.takenOut.has(settings.dataCentre)) return 'dataCentreOut';
  const {host, port} = settings.upstream;
  const own = findByAddress(list, host, port);
  if (own && own.id !== request.upstreamId) return 'wrongOwner';
  if (own?.state === 'leaving') return 'leaving';
  if (!own && list.complete) return 'leaving';
  return undefined;
}

/** Says whether an answer is the upstream's own answer to this request. */
export function classifyAnswer(
  {names}: SidecarBoard,
  request: ForwardRequest,
  {status, headers}: HttpAnswer,
): 'own' | 'notRun' | 'crossed' {
  const id = readOne(headers, names.requestId);
  // An answer with another id was sent late for an earlier request.
  if (id !== undefined && id !== request.requestId) return 'crossed';
  if (headers[names.notRun] !== undefined || status === 421) return 'notRun';
  if (headers['content-encoding'] !== undefined) return 'crossed';
  const signed = headers[names.signature] !== undefined;
  if (status < 400 && (!signed || id === undefined)) return 'crossed';
  return 'own';
}

/** Writes the line of a request that was not run, with what decided it. */
export function logRefusal(
  board: SidecarBoard,
  request: ForwardRequest,
  outcome: Outcome,
  arrived: boolean,
): void {
  const {limiter} = board;
  board.log.write('notable', 'ownerRefused', {
    request: request.requestId,
    outcome,
    arrived,
    upstream: request.upstreamId,
    inFlight: limiter.inFlight,
    queued: limiter.queue.length,
    slots: limiter.slots,
    meanMs: Math.round(limiter.meanMs),
    cold: isCold(limiter, board.now()),
    limitMs: Math.round(request.limitMs),
    goalMs: Math.round(request.goalMs),
  });
}
