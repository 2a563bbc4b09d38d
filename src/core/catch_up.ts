import {computeBackoff} from '../utils/backoff.js';
import {count, type Board, type Effect} from './blackboard.js';
import {getPosition} from './config.js';
import {isAhead} from './divergence.js';

/** Time after which an unanswered request is sent to another peer, ms. */
export const CATCH_UP_TIMEOUT_MS = 2_000;

/** First and longest backoff between failed requests, ms. */
export const CATCH_UP_BACKOFF_MS = {base: 200, cap: 5_000} as const;

/** Time for which a peer that sent nothing useful is not asked again, ms. */
export const AVOID_MS = 2_000;

/** Requests entries from a peer that is ahead, from `preferred` if it is. */
export function requestIfBehind(
  board: Board,
  now: number,
  preferred?: string,
): Effect[] {
  const {relay, links} = board;
  if (relay.pending || now < relay.nextRequestAt) return [];
  const ahead = [...links.values()]
    .filter(link => isAhead(board, link))
    .map(link => link.peer)
    .filter(peer => (relay.avoid.get(peer) ?? 0) <= now);
  if (ahead.length === 0) return [];
  const chosen = ahead[Math.floor(board.random() * ahead.length)];
  const useful = preferred !== undefined && ahead.includes(preferred);
  return requestEntries(board, useful ? preferred : chosen, now);
}

/** Requests the entries after our position from a peer. */
export function requestEntries(
  board: Board,
  to: string,
  now: number,
): Effect[] {
  const {index: after, version, digest} = getPosition(board.config);
  board.relay.pending = {peer: to, after, sentAt: now};
  count(board, 'relay_wants_sent');
  return [{kind: 'send', to, msg: {t: 'want', after, version, digest}}];
}

/** Avoids a peer for `avoidMs` and delays the next request to any peer. */
export function delayNextRequest(
  board: Board,
  peer: string,
  now: number,
  avoidMs: number,
): void {
  const {relay, random} = board;
  const {base, cap} = CATCH_UP_BACKOFF_MS;
  relay.avoid.set(peer, now + avoidMs);
  relay.nextRequestAt = now + computeBackoff(relay.attempt, base, cap, random);
  relay.attempt++;
}
