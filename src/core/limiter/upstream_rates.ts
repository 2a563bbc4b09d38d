import {
  type TokenBucket,
  computeTokenWaitMs,
  createTokenBucket,
  emptyBucket,
  raiseTokens,
  refillBucket,
} from '../token_bucket.js';

/** Rate of a cold upstream whose rate is unknown, requests per second. */
const DEFAULT_COLD_PER_S = 5;

/** Token bucket capacity of a cold upstream, requests. */
const COLD_BURST = 3;

/** Share of the rate that a cold upstream bears which it gets at most: requests
 * that were started evenly may arrive closer together. */
const COLD_RATE_SHARE = 0.9;

/** Requests of what a cold upstream bears in one second that are left for health
 * checks. */
const COLD_HEALTH_CHECKS = 2;

/** Lowest rate that a stated limit sets, requests per second: an upstream that
 * gets none could not withdraw its limit. */
const MIN_STATED_PER_S = 0.2;

/** Token bucket capacity of a stated limit, seconds of its rate. */
const STATED_BURST_S = 0.25;

/**
 * Requests that an upstream may get beyond the cold rate before it has to say again
 * that it is warm: seconds of that rate, and a number. A cold upstream bears one and
 * a half times the rate and 5 more in any second, health checks among them.
 */
const UNCONFIRMED_BURST = {rateS: 0.5, requests: 3};

/** Share of these requests that is left when the upstream is asked. */
const CONFIRM_SHARE = 0.25;

/** Requests that a cold upstream bears in any second, health checks among them:
 * `over` times its cold rate, and `slack`. */
export interface ColdBound {
  readonly over: number;
  readonly slack: number;
}

/** Limits on the rate of the requests to an upstream. */
export interface UpstreamRates {
  /** Rate that the upstream sustains while cold, requests per second. */
  coldPerS: number;
  /** Undefined when a cold upstream gets its cold rate alone. */
  readonly coldBound?: ColdBound;
  /** Monotonic time up to which the upstream counts as cold, ms. */
  coldUntil: number;
  /** Limits the rate of requests while the upstream is cold. */
  readonly coldRate: TokenBucket;
  /** Limits the requests since the upstream last said that it is warm, while
   * nobody else would report that it has turned cold. */
  unconfirmed?: TokenBucket;
  /** True when the upstream did not say in time whether it is warm when last
   * asked. */
  isConfirmationLate: boolean;
  /** Number of requests started so far. */
  started: number;
  /** Limit that the upstream states, requests per second. */
  statedPerS?: number;
  /** Limits the rate of requests while the upstream states a limit. */
  statedRate?: TokenBucket;
}

/** Creates the rates of an upstream that counts as cold until its state is known. */
export function createRates(now: number, coldBound?: ColdBound): UpstreamRates {
  return {
    coldPerS: DEFAULT_COLD_PER_S,
    coldBound,
    coldUntil: Infinity,
    coldRate: {
      ...createTokenBucket(DEFAULT_COLD_PER_S, COLD_BURST, now),
      tokens: 1,
    },
    isConfirmationLate: false,
    started: 0,
  };
}

/** True while the upstream counts as cold and its rate is limited. */
export function isCold(rates: UpstreamRates, now: number): boolean {
  return now < rates.coldUntil;
}

/** Sets how long the upstream counts as cold from now. */
export function setCold(
  rates: UpstreamRates,
  forMs: number,
  now: number,
): void {
  if (!isCold(rates, now) && forMs > 0) {
    // Requests that were just started also count against the cold rate.
    emptyBucket(rates.coldRate, now);
    rates.coldRate.tokens -= countExtra(rates);
  }
  rates.coldUntil = now + forMs;
}

/** Sets the rate that the upstream sustains while cold, per s; 0 if unknown. */
export function setColdRate(
  rates: UpstreamRates,
  perS: number,
  now: number,
): void {
  const {coldRate, coldBound} = rates;
  // Tokens that were gained so far came at the earlier rate.
  refillBucket(coldRate, now);
  rates.coldPerS = perS > 0 ? perS : DEFAULT_COLD_PER_S;
  coldRate.perS = rates.coldPerS + countExtra(rates);
  if (coldBound) {
    coldRate.capacity = Math.max(1, coldBound.slack - COLD_HEALTH_CHECKS);
  }
}

/**
 * Requests of one second that the cold rate in use exceeds the sustained one by.
 * They are left out in the first second of an upstream that was warm, as requests
 * that were sent before it was known to be cold may arrive in it. At the start of
 * this process the earlier one has kept to the same rate.
 */
function countExtra({coldPerS, coldBound}: UpstreamRates): number {
  if (!coldBound) return 0;
  return coldPerS * Math.max(0, coldBound.over * COLD_RATE_SHARE - 1);
}

/** Sets whether the upstream itself has to say that it is still warm; what it may
 * get until it does is kept while that stays so. */
export function setUnconfirmed(
  rates: UpstreamRates,
  unconfirmed: boolean,
  now: number,
): void {
  if (!unconfirmed) {
    rates.unconfirmed = undefined;
    rates.isConfirmationLate = false;
    return;
  }
  const perS = rates.coldPerS;
  const {rateS, requests} = UNCONFIRMED_BURST;
  const capacity = perS * rateS + requests;
  rates.unconfirmed ??= createTokenBucket(perS, capacity, now);
  Object.assign(rates.unconfirmed, {perS, capacity});
}

/** True when the upstream has to be asked whether it is still warm. */
export function needsConfirmation(rates: UpstreamRates, now: number): boolean {
  const {unconfirmed} = rates;
  if (!unconfirmed || isCold(rates, now)) return false;
  const wanted = unconfirmed.capacity * CONFIRM_SHARE;
  return computeTokenWaitMs(unconfirmed, wanted, now) > 0;
}

/**
 * Records that the upstream was warm at some time after the `startedThen`-th
 * request was started. It may have turned cold right after that, so those that
 * were started since then count.
 */
export function confirmWarm(
  {unconfirmed, started}: UpstreamRates,
  startedThen: number,
  now: number,
): void {
  if (!unconfirmed) return;
  const tokens = unconfirmed.capacity - (started - startedThen);
  raiseTokens(unconfirmed, tokens, now);
}

/** Sets the limit that the upstream states, requests per second; undefined when
 * it states none. */
export function setStatedRate(
  rates: UpstreamRates,
  perS: number | undefined,
  now: number,
): void {
  rates.statedPerS = perS;
  if (perS === undefined) {
    rates.statedRate = undefined;
    return;
  }
  if (!rates.statedRate) {
    rates.statedRate = createTokenBucket(perS, 1, now);
    emptyBucket(rates.statedRate, now);
  }
  rates.statedRate.perS = Math.max(MIN_STATED_PER_S, perS);
  rates.statedRate.capacity = Math.max(1, perS * STATED_BURST_S);
}

/** Buckets that limit the rate of requests now. */
export function listRates(upstream: UpstreamRates, now: number): TokenBucket[] {
  const {coldRate, unconfirmed, statedRate} = upstream;
  const rates = [isCold(upstream, now) ? coldRate : unconfirmed, statedRate];
  return rates.filter(rate => rate !== undefined);
}

/** Time until the rates allow `tokens` more requests, ms. */
export function computeRateWaitMs(
  rates: readonly TokenBucket[],
  tokens: number,
  now: number,
): number {
  const waits = rates.map(rate => computeTokenWaitMs(rate, tokens, now));
  return Math.max(0, ...waits);
}
