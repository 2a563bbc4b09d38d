import {count, type Board} from './blackboard.js';
import {recordEvent} from './timeline.js';

/** Gap between two ticks after which the membership view is stale, ms. */
export const PAUSE_MS = 1_500;

/** Time without any link after which a stale view counts as fresh, ms. */
export const ALONE_FRESH_MS = 1_000;

/**
 * Detects whether this process was paused since its last tick. Call it before
 * using the view, because messages and requests that waited during a pause
 * may be handled before the next tick. Returns true while the view is stale.
 */
export function checkPause(board: Board, now: number): boolean {
  const {members} = board;
  const gap = now - (members.lastTickAt ?? now);
  if (gap <= PAUSE_MS) return board.viewStale;
  members.lastTickAt = now;
  members.staleSince = now;
  members.nonce = Math.floor(board.random() * 2 ** 31);
  members.isNonceDue = true;
  board.viewStale = true;
  // Nothing was received during the pause, whatever the state of the peers.
  for (const link of board.links.values()) link.lastReceivedAt = now;
  for (const member of members.byId.values()) member.changedAt += gap;
  count(board, 'pauses');
  recordEvent(board.timeline, 'viewStale', {gapMs: Math.round(gap)}, now);
  return true;
}

/** Ends a stale view once a peer has answered, or when there is no peer. */
export function endStale(board: Board, now: number): void {
  const {members} = board;
  if (!board.viewStale) return;
  board.viewStale = false;
  const staleMs = Math.round(now - (members.staleSince ?? now));
  members.staleSince = undefined;
  members.nonce = undefined;
  recordEvent(board.timeline, 'viewFresh', {staleMs}, now);
}

/** Detects pauses, and ends a stale view when there is no peer to ask. */
export function tickStaleness(board: Board, now: number): void {
  const {members} = board;
  checkPause(board, now);
  members.lastTickAt = now;
  if (members.staleSince === undefined) return;
  // The wait starts when the last link has closed.
  if (board.links.size > 0) members.isolatedSince = undefined;
  else members.isolatedSince ??= now;
  const alone = now - (members.isolatedSince ?? now);
  if (alone >= ALONE_FRESH_MS) endStale(board, now);
}
