/** Length of the windows over which turnarounds are compared, ms. */
const WINDOW_MS = 1_000;

/** Turnaround of the fastest peer above which answers count as slow, ms. */
const SLOW_TURNAROUND_MS = 200;

/** Turnaround above which the peer has polled others meanwhile, ms. */
const MAX_TURNAROUND_MS = 2_000;

/** Polls in a window from which its turnarounds say something. */
const MIN_POLLS = 3;

/** Time for which a slow daemon declines polls, ms. */
export const DECLINE_MS = 4_000;

/**
 * Times from an answer to the next poll of the same peer. A peer polls again at
 * once, so that the shortest one shows how long answers wait for the own link
 * and event loop; longer ones may be due to the peer.
 */
export interface PollTurnaround {
  windowEndsAt: number;
  shortestMs: number;
  polls: number;
  declineUntil: number;
}

/** Creates the state of a daemon that has answered no polls. */
export function createPollTurnaround(): PollTurnaround {
  return {
    windowEndsAt: -Infinity,
    shortestMs: Infinity,
    polls: 0,
    declineUntil: -Infinity,
  };
}

/** Records one turnaround; returns true when the daemon turns out to be slow. */
export function recordTurnaround(
  state: PollTurnaround,
  ms: number,
  now: number,
): boolean {
  if (ms > MAX_TURNAROUND_MS) return false;
  const ended = now >= state.windowEndsAt;
  const slow =
    ended && state.polls >= MIN_POLLS && state.shortestMs > SLOW_TURNAROUND_MS;
  if (ended) {
    state.windowEndsAt = now + WINDOW_MS;
    state.shortestMs = Infinity;
    state.polls = 0;
  }
  state.polls++;
  state.shortestMs = Math.min(state.shortestMs, ms);
  if (slow) state.declineUntil = now + DECLINE_MS;
  return slow;
}
