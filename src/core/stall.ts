/** Time without progress after which an upstream counts as stalled, ms. */
export const STALL_MS = 10_000;

/** Progress of the requests at one upstream. */
export interface Stall {
  inFlight: number;
  /** Start of the wait for the next progress; undefined when none is due. */
  waitingSince?: number;
  stalled: boolean;
  /** Monotonic time of the newest end of a request, ms. */
  endedAt: number;
}

/** Creates the state of an upstream without requests. */
export function createStall(): Stall {
  return {inFlight: 0, stalled: false, endedAt: 0};
}

/** Counts the start of a request. */
export function recordStart(stall: Stall, now: number): void {
  stall.inFlight++;
  if (stall.waitingSince === undefined) {
    stall.waitingSince = now;
  } else if (stall.inFlight === 1) {
    // Time without any request in flight is no wait for progress.
    stall.waitingSince += now - stall.endedAt;
  }
}

/** Counts a byte of an answer or the end of a request by the upstream. */
export function recordProgress(stall: Stall, now: number): void {
  stall.waitingSince = now;
  stall.stalled = false;
}

/**
 * Counts the end of a request. One that was abandoned is no progress,
 * otherwise deadlines shorter than `STALL_MS` would hide every stall.
 */
export function recordEnd(stall: Stall, abandoned: boolean, now: number): void {
  stall.inFlight--;
  stall.endedAt = now;
  if (!abandoned && stall.inFlight === 0) stall.waitingSince = undefined;
}

/** Sets or clears the stalled state; true when it was given up as quiet. */
export function checkStall(stall: Stall, now: number): boolean {
  const {waitingSince, inFlight, stalled, endedAt} = stall;
  if (waitingSince === undefined) return false;
  if (inFlight > 0) {
    if (now - waitingSince >= STALL_MS) stall.stalled = true;
    return false;
  }
  // Entries avoid a stalled upstream. Without any request it can never show
  // progress, so after a quiet period one request at a time tries it again.
  if (now - endedAt < STALL_MS) return false;
  stall.waitingSince = undefined;
  stall.stalled = false;
  return stalled;
}
