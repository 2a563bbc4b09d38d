/** Limits a rate; holds up to `capacity` tokens for bursts. */
export interface TokenBucket {
  perS: number;
  capacity: number;
  tokens: number;
  refilledAt: number;
}

/** Creates a full bucket. `now` is monotonic time, ms. */
export function createTokenBucket(
  perS: number,
  capacity: number,
  now: number,
): TokenBucket {
  return {perS, capacity, tokens: capacity, refilledAt: now};
}

/** Takes one token; false when none is left. */
export function takeToken(bucket: TokenBucket, now: number): boolean {
  refillBucket(bucket, now);
  if (bucket.tokens < 1) return false;
  bucket.tokens--;
  return true;
}

/** Time until the bucket holds `tokens` tokens at its rate, ms. */
export function computeTokenWaitMs(
  bucket: TokenBucket,
  tokens: number,
  now: number,
): number {
  refillBucket(bucket, now);
  const missing = Math.max(0, tokens - bucket.tokens);
  return missing === 0 ? 0 : (missing * 1_000) / bucket.perS;
}

/** Raises the number of tokens to at least `tokens`, up to the capacity. */
export function raiseTokens(
  bucket: TokenBucket,
  tokens: number,
  now: number,
): void {
  refillBucket(bucket, now);
  const {capacity} = bucket;
  bucket.tokens = Math.max(bucket.tokens, Math.min(capacity, tokens));
}

/** Removes all tokens. */
export function emptyBucket(bucket: TokenBucket, now: number): void {
  bucket.tokens = 0;
  bucket.refilledAt = now;
}

/** Adds the tokens gained since the last call. */
export function refillBucket(bucket: TokenBucket, now: number): void {
  const gained = ((now - bucket.refilledAt) / 1_000) * bucket.perS;
  bucket.tokens = Math.min(bucket.capacity, bucket.tokens + gained);
  bucket.refilledAt = now;
}
