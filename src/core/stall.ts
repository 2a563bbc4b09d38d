/** Time without progress after which an upstream counts as stalled, ms. */
export const STALL_MS = 10_000;

/** Progress of the requests at one upstream. */
export interface Stall {
  inFlight: number;
  /** Monotonic start of the wait for progress, ms; undefined without a wait. */
  waitingSince?: number;
  stalled: boolean;
  /** Monotonic time of the latest end of a request, ms. */
  endedAt: number;
}

/** Creates the state of an upstream without requests. */
export function createStall(): Stall {
  return {inFlight: 0, stalled: false, endedAt: 0};
}

/** Records the start of a request. */
export function recordStart(stall: Stall, now: number): void {
  stall.inFlight++;
  if (stall.waitingSince === undefined) {
    stall.waitingSince = now;
  } else if (stall.inFlight === 1) {
    // Idle time does not count as waiting for progress.
    stall.waitingSince += now - stall.endedAt;
  }
}

/** Records bytes of an answer, or a request that the upstream ended. */
export function recordProgress(stall: Stall, now: number): void {
  stall.waitingSince = now;
  stall.stalled = false;
}

/**
 * Records the end of a request. An abandoned request is not progress,
 * otherwise deadlines shorter than `STALL_MS` would hide every stall.
 */
export function recordEnd(stall: Stall, abandoned: boolean, now: number): void {
  stall.inFlight--;
  stall.endedAt = now;
  if (!abandoned && stall.inFlight === 0) stall.waitingSince = undefined;
}

/** Updates the stalled state; true when an idle period has cleared it. */
export function checkStall(stall: Stall, now: number): boolean {
  const {waitingSince, inFlight, stalled, endedAt} = stall;
  if (waitingSince === undefined) return false;
  if (inFlight > 0) {
    if (now - waitingSince >= STALL_MS) stall.stalled = true;
    return false;
  }
  // Entries avoid a stalled upstream. Without any request it can never show
  // progress, so after an idle period it is tried with one request at a time.
  if (now - endedAt < STALL_MS) return false;
  stall.waitingSince = undefined;
  stall.stalled = false;
  return stalled;
}
