import {
  FRESH_MS,
  confirmWarm,
  needsConfirmation,
  setCold,
  setUnconfirmed,
} from '../internal.js';
import type {SidecarBoard} from './board.js';
import {
  type OwnerState,
  fetchHealth,
  processQueue,
  readColdMs,
} from './upstream_health.js';

/** Shortest time between two of these health checks, ms. */
const ASK_PAUSE_MS = 50;

/** Shortest time to the next one after a check that was refused or not answered,
 * ms: health checks are requests to a cold upstream, too. */
const ASK_AGAIN_MS = 500;

/** Time after which a health check counts as not answered, ms; until then requests
 * wait for it. */
const CONFIRM_LATE_MS = 100;

/** Heartbeats after which a fresh copy would tell of a cold upstream. */
const LISTED_HEARTBEATS = 2;

/**
 * Keeps the rate of a cold upstream while the store may not tell in time that it
 * has turned cold: it gets only so many requests until it has said again that it
 * is warm. Needs no message of the store or of another daemon. Call it before a
 * request is admitted and after one has been started.
 */
export function checkWarm(state: OwnerState): void {
  const {board, checking, stopped} = state;
  const {limiter, settings} = board;
  const now = board.now();
  const isFresh = isCopyFresh(board);
  if (!isFresh) {
    state.copyFreshSince = undefined;
    setUnconfirmed(limiter, true, now);
  } else if (limiter.unconfirmed) {
    state.copyFreshSince ??= now;
    // An upstream that answers no health check is believed by its record then.
    const listedAt =
      state.copyFreshSince + LISTED_HEARTBEATS * settings.heartbeatMs;
    if (now >= listedAt) setUnconfirmed(limiter, false, now);
  }
  // The first answer after the copy has become fresh ends these checks.
  const isDue = isFresh
    ? limiter.unconfirmed !== undefined
    : needsConfirmation(limiter, now);
  if (!isDue || checking || stopped || state.isAskingWarm) return;
  const pauseMs = limiter.isConfirmationLate ? ASK_AGAIN_MS : ASK_PAUSE_MS;
  if (now < state.warmAskedAt + pauseMs) return;
  state.warmAskedAt = now;
  state.isAskingWarm = true;
  void askUpstream(state, isFresh).finally(() => {
    state.isAskingWarm = false;
    processQueue(state);
  });
}

/** Without any copy nothing is served. A copy that was only ever adopted from a
 * daemon without a fresh one has no known age, and is not fresh. */
function isCopyFresh({mirror, readMirrorAge}: SidecarBoard): boolean {
  return mirror.revision === undefined || readMirrorAge() <= FRESH_MS;
}

/** Asks the upstream once whether it is cold. Without an answer nothing changes: it
 * gets no more than the cold rate beyond what it may still get. */
async function askUpstream(
  state: OwnerState,
  wasFresh: boolean,
): Promise<void> {
  const {board} = state;
  const {limiter} = board;
  const startedThen = limiter.started;
  const timer = setTimeout(
    () => (limiter.isConfirmationLate = true),
    CONFIRM_LATE_MS,
  );
  const headers = await fetchHealth(state);
  clearTimeout(timer);
  const coldMs = headers && readColdMs(board, headers);
  limiter.isConfirmationLate = coldMs === undefined;
  if (coldMs === undefined) return;
  const now = board.now();
  if (coldMs > 0) {
    // A restart that was noticed meanwhile counts as cold for longer.
    setCold(limiter, Math.max(coldMs, limiter.coldUntil - now), now);
    board.log.write('always', 'upstreamCold', {coldMs: Math.round(coldMs)});
  } else {
    confirmWarm(limiter, startedThen, now);
  }
  if (wasFresh && isCopyFresh(board)) setUnconfirmed(limiter, false, now);
}
