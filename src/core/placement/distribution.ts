// How a set of times is spread: a decaying histogram in bounded memory.

/** Upper bound of the first bucket, ms. */
const FIRST_MS = 1;

/** Bounds of neighbouring buckets differ by this factor. */
const BUCKET_RATIO = 1.25;

/** Number of buckets; the last one begins at about three minutes. */
const BUCKETS = 56;

/** Weight of all samples together, in samples, beyond which older ones lose
 * weight: the tail of 3% of the requests is then seen six times. */
const MAX_WEIGHT = 200;

/** Expected remaining share of a time that is longer than all known ones. */
const BEYOND_SHARE = 0.5;

const LOG_RATIO = Math.log(BUCKET_RATIO);

/** Times, of which newer ones weigh more. */
export interface Distribution {
  readonly buckets: Float64Array;
  weight: number;
  /** Weighted sum of the times, ms. */
  sumMs: number;
}

/** Creates an empty distribution. */
export function createDistribution(): Distribution {
  return {buckets: new Float64Array(BUCKETS), weight: 0, sumMs: 0};
}

/** Adds a time, ms. */
export function addTime(distribution: Distribution, ms: number): void {
  const {buckets} = distribution;
  buckets[findBucket(ms)]++;
  distribution.weight++;
  distribution.sumMs += ms;
  if (distribution.weight <= MAX_WEIGHT) return;
  // Halved at once instead of a little at each sample: the cost stays small.
  for (let i = 0; i < BUCKETS; i++) buckets[i] /= 2;
  distribution.weight /= 2;
  distribution.sumMs /= 2;
}

function findBucket(ms: number): number {
  if (!(ms > FIRST_MS)) return 0;
  return Math.min(BUCKETS - 1, Math.ceil(Math.log(ms / FIRST_MS) / LOG_RATIO));
}

function getUpperMs(bucket: number): number {
  return FIRST_MS * BUCKET_RATIO ** bucket;
}

/** Mean of the times, ms; undefined when there is none. */
export function getMeanMs({weight, sumMs}: Distribution): number | undefined {
  return weight > 0 ? sumMs / weight : undefined;
}

/** Share of the times that are longer than `ms`, 0 to 1. */
export function getShareAbove(
  {buckets, weight}: Distribution,
  ms: number,
): number {
  if (weight <= 0) return 0;
  if (ms <= 0) return 1;
  const bucket = findBucket(ms);
  let above = 0;
  for (let i = bucket + 1; i < BUCKETS; i++) above += buckets[i];
  const upperMs = getUpperMs(bucket);
  const lowerMs = bucket === 0 ? 0 : upperMs / BUCKET_RATIO;
  const inside = Math.max(0, Math.min(1, (upperMs - ms) / (upperMs - lowerMs)));
  return Math.min(1, (above + inside * buckets[bucket]) / weight);
}

/** Time at or below which `share` of the times lie, ms; 0 when there is none. */
export function getQuantileMs(
  {buckets, weight}: Distribution,
  share: number,
): number {
  let left = share * weight;
  for (let i = 0; i < BUCKETS; i++) {
    left -= buckets[i];
    if (left <= 0 && buckets[i] > 0) return getUpperMs(i);
  }
  return 0;
}

/** Expected remaining time of a run that has lasted `elapsedMs`, ms. */
export function getRemainingMs(
  distribution: Distribution,
  elapsedMs: number,
): number {
  const {buckets} = distribution;
  const first = findBucket(elapsedMs);
  let weight = 0;
  let sumMs = 0;
  for (let i = first; i < BUCKETS; i++) {
    if (buckets[i] === 0) continue;
    const upperMs = getUpperMs(i);
    const lowerMs = Math.max(elapsedMs, upperMs / BUCKET_RATIO);
    const share = i === first ? (upperMs - lowerMs) / upperMs : 1;
    weight += buckets[i] * share;
    sumMs += buckets[i] * share * ((upperMs + lowerMs) / 2 - elapsedMs);
  }
  return weight > 0 ? sumMs / weight : elapsedMs * BEYOND_SHARE;
}
