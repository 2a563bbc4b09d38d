import {type ListedUpstream, setStatedRate} from '../internal.js';
import {type SidecarBoard, findOwnUpstream} from './board.js';
import type {ForwardRequest} from './forward.js';
import {readHeader} from './header_copy.js';
import type {AnswerHead, HttpAnswer} from './http_client.js';

/** True when the list or the upstream itself says that it is about to stop. */
export function isLeaving(
  {announcedLeaving}: SidecarBoard,
  {id, state, startedAt}: ListedUpstream,
): boolean {
  return state === 'leaving' || announcedLeaving.get(id) === startedAt;
}

/** Records at an owner or entry that an upstream says in an answer that it is
 * about to stop. */
export function recordLeaving(
  {names, announcedLeaving, log}: SidecarBoard,
  {id, startedAt}: ListedUpstream,
  {headers}: HttpAnswer,
): void {
  if (headers[names.leaving] !== '1') return;
  if (announcedLeaving.get(id) === startedAt) return;
  announcedLeaving.set(id, startedAt);
  log.write('always', 'upstreamAnnouncedLeaving', {upstream: id});
}

/** A limit as upstreams write it, requests per second. */
const LIMIT_PATTERN = /^\d{1,9}(\.\d+)?$/;

/** Parses a limit, requests per second; undefined if absent or malformed. */
export function parseLimit(text = ''): number | undefined {
  return LIMIT_PATTERN.test(text) ? Number(text) : undefined;
}

/** Reads the limit that an answer states; undefined if none or malformed. */
function readLimit(
  {names}: SidecarBoard,
  {headers}: Pick<AnswerHead, 'headers'>,
): number | undefined {
  return parseLimit(readHeader(headers, names.requestLimit));
}

/** Limit that an incarnation of an upstream has stated. */
export interface StatedLimit {
  readonly startedAt: number;
  /** Requests per second. */
  readonly perS: number;
}

/** Records at an entry the limit that an answer states, or that it states none. */
export function recordStatedLimit(
  board: SidecarBoard,
  {id, startedAt}: ListedUpstream,
  answer: HttpAnswer,
): void {
  const perS = readLimit(board, answer);
  if (perS === undefined) board.statedLimits.delete(id);
  else board.statedLimits.set(id, {startedAt, perS});
}

/** Limit that this entry has heard of, requests per second. */
export function findStatedLimit(
  {statedLimits}: SidecarBoard,
  {id, startedAt}: ListedUpstream,
): number | undefined {
  const limit = statedLimits.get(id);
  return limit?.startedAt === startedAt ? limit.perS : undefined;
}

/** Applies a limit that the local upstream has stated before any answer to a
 * request: in a health check, or to an entry that handed it over. */
function applyEarlyLimit(
  {limiter, log, now}: SidecarBoard,
  limitPerS: number | undefined,
  source: 'health' | 'entry',
): void {
  if (limitPerS === undefined || limitPerS === limiter.statedPerS) return;
  setStatedRate(limiter, limitPerS, now());
  log.write('notable', 'upstreamLimit', {limitPerS, source});
}

/** Applies the limit in the answer to a health check; one without a limit does
 * not end it. */
export function applyHealthLimit(
  board: SidecarBoard,
  headers: AnswerHead['headers'],
): void {
  applyEarlyLimit(board, readLimit(board, {headers}), 'health');
}

/** Applies the limit that an entry hands over with a request, unless the upstream
 * has stated one itself. */
export function adoptLimit(
  board: SidecarBoard,
  {statedPerS}: ForwardRequest,
): void {
  if (board.limiter.statedPerS !== undefined) return;
  applyEarlyLimit(board, statedPerS, 'entry');
}

/** Applies what an answer of the local upstream says about itself: a limit on its
 * requests, and that it is about to stop. */
export function applyAnnouncements(
  board: SidecarBoard,
  {upstreamId}: ForwardRequest,
  answer: HttpAnswer,
): void {
  const {limiter, log} = board;
  const limitPerS = readLimit(board, answer);
  if (limitPerS !== limiter.statedPerS) {
    setStatedRate(limiter, limitPerS, board.now());
    log.write('notable', 'upstreamLimit', {upstream: upstreamId, limitPerS});
  }
  const own = findOwnUpstream(board);
  if (own?.id === upstreamId) recordLeaving(board, own, answer);
}

/** Announcements that are kept of upstreams that are not listed; their entries may
 * come back after an outage of the list, while they still serve. */
const MAX_UNLISTED_ANNOUNCEMENTS = 500;

/** Forgets the oldest announcements of upstreams that are no longer listed. */
export function pruneAnnouncements({
  announcedLeaving,
  statedLimits,
  list,
}: SidecarBoard): void {
  for (const announced of [announcedLeaving, statedLimits]) {
    const unlisted = [...announced.keys()].filter(id => !list.byId.has(id));
    const extra = Math.max(0, unlisted.length - MAX_UNLISTED_ANNOUNCEMENTS);
    for (const id of unlisted.slice(0, extra)) announced.delete(id);
  }
}
