import {type ListedUpstream, setStatedRate} from '../internal.js';
import {type SidecarBoard, findOwnUpstream} from './board.js';
import type {ForwardRequest} from './forward.js';
import {readHeader} from './header_copy.js';
import type {HttpAnswer} from './http_client.js';

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

/** Reads the limit that an answer states; undefined if none or malformed. */
function readLimit(
  {names}: SidecarBoard,
  {headers}: HttpAnswer,
): number | undefined {
  const text = readHeader(headers, names.requestLimit) ?? '';
  return LIMIT_PATTERN.test(text) ? Number(text) : undefined;
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
  list,
}: SidecarBoard): void {
  const unlisted = [...announcedLeaving.keys()].filter(
    id => !list.byId.has(id),
  );
  const extra = Math.max(0, unlisted.length - MAX_UNLISTED_ANNOUNCEMENTS);
  for (const id of unlisted.slice(0, extra)) announcedLeaving.delete(id);
}
