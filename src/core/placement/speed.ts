// How fast the own upstream is now, from its answers against their expected work.

/** Smoothing factor of the steady estimate of the logarithm. */
const STEADY_GAIN = 0.04;

/** Smoothing factor of the quick estimate. */
const QUICK_GAIN = 0.3;

/** Smoothing factor of the usual speed. */
const USUAL_GAIN = 0.01;

/** Most by which an answer counts against the usual speed once that is known, as a
 * logarithm: a slow-down of some seconds hardly changes it, what stays changes it
 * within some hundred answers. */
const USUAL_STEP = 0.2;

/** Difference of the two estimates at which the steady one jumps to the quick one.
 * A slow-down of 5 times (1.6) gets there in three answers; one answer of seven times
 * its expected work (1.9 x 0.3) does not. */
const JUMP = 0.8;

/** Bounds of the logarithm of one answer's time against its work, so that a single
 * answer moves the quick estimate by less than the jump. */
const MAX_STEP = 2;

/** Answers that the assumed speed of 1 counts for at the start. */
const PRIOR_ANSWERS = 2;

/** Shortest time that counts, ms. */
const MIN_TIME_MS = 0.5;

/** Speed of the own upstream. */
export interface SpeedTracker {
  /** Mean logarithm of the time in the slot over the expected work. */
  steady: number;
  quick: number;
  /** The same over a longer time. */
  usual: number;
  answers: number;
  /** Answers since the steady estimate last jumped. */
  settled: number;
}

/** Creates a tracker; the speed is 1 until the first answer. */
export function createSpeedTracker(): SpeedTracker {
  return {steady: 0, quick: 0, usual: 0, answers: 0, settled: 0};
}

/** Records an answer: its time in the slot and its expected work, ms. */
export function recordSpeed(
  tracker: SpeedTracker,
  slotMs: number,
  workMs: number,
): void {
  if (!(workMs > 0)) return;
  const ratio = Math.log(Math.max(MIN_TIME_MS, slotMs) / workMs);
  const {steady} = tracker;
  const bounded = Math.max(
    steady - MAX_STEP,
    Math.min(steady + MAX_STEP, ratio),
  );
  tracker.answers++;
  tracker.settled++;
  const first = 1 / (tracker.answers + PRIOR_ANSWERS);
  const settling = 1 / (tracker.settled + PRIOR_ANSWERS);
  tracker.steady +=
    Math.max(STEADY_GAIN, settling) * (bounded - tracker.steady);
  tracker.quick += Math.max(QUICK_GAIN, first) * (bounded - tracker.quick);
  const step = bounded - tracker.usual;
  tracker.usual +=
    first > USUAL_GAIN
      ? first * step
      : USUAL_GAIN * Math.max(-USUAL_STEP, Math.min(USUAL_STEP, step));
  if (Math.abs(tracker.quick - tracker.steady) > JUMP) {
    tracker.steady = tracker.quick;
    // The quick estimate is still on its way; follow the next answers closely.
    tracker.settled = 0;
  }
}

/** Work that the upstream does in a ms, in ms at speed 1. */
export function getSpeed({steady}: SpeedTracker): number {
  return Math.exp(-steady);
}

/** The speed that the upstream usually has. */
export function getUsualSpeed({usual}: SpeedTracker): number {
  return Math.exp(-usual);
}

/** Forgets what is known, since another incarnation may be as fast or not. */
export function resetSpeed(tracker: SpeedTracker): void {
  Object.assign(tracker, createSpeedTracker());
}
