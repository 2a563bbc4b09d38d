/** Rate of a cold upstream whose rate is unknown, requests per second. */
const DEFAULT_COLD_PER_S = 5;

/** Token bucket capacity of a cold upstream, requests. */
const COLD_BURST = 3;

/** Smoothing factor of the mean time in a slot. */
const MEAN_GAIN = 0.1;

/** Mean time in a slot assumed before the first answer, ms. */
const INITIAL_MEAN_MS = 50;

/** Maximum number of kinds with a mean time; the map is cleared when full. */
const MAX_KINDS = 512;

/**
 * Maximum time in the queue of a request that will miss its goal, as a share of
 * its expected running time.
 */
const LATE_WAIT_SHARE = 0.5;

/** Maximum number of requests that count as waiting unread. */
const MAX_UNREAD = 10_000;

/** Why a request was not started. */
export type LimiterRefusal =
  'full' | 'cold' | 'deadlineTooShort' | 'upstreamDown';

/** A request that needs a slot of the upstream. */
export interface LimiterRequest {
  /** Route name; requests of one kind take similar times. */
  readonly kind: string;
  /** Priority; 0 is served first. */
  readonly rank: number;
  /** Monotonic time of the response goal, ms; later answers are worth less. */
  readonly goalAt: number;
  /** Monotonic time after which an answer is useless, ms. */
  readonly deadlineAt: number;
  start(): void;
  refuse(reason: LimiterRefusal, retryAfterMs: number): void;
}

interface QueuedRequest {
  readonly request: LimiterRequest;
  readonly since: number;
}

/**
 * Limits concurrency and cold rate of the local upstream. All its requests
 * pass through here, so the limits need no coordination between daemons.
 */
export interface ConcurrencyLimiter {
  slots: number;
  inFlight: number;
  queue: QueuedRequest[];
  /** Monotonic time up to which the upstream counts as cold, ms. */
  coldUntil: number;
  coldPerS: number;
  coldTokens: number;
  refilledAt: number;
  down: boolean;
  /** Mean time that a request holds its slot, ms. */
  meanMs: number;
  readonly meanByKind: Map<string, number>;
  /** Moving average of the share of failed requests, 0 to 1. */
  failShare: number;
}

/** Creates a limiter; its upstream counts as cold until its state is known. */
export function createLimiter(now: number): ConcurrencyLimiter {
  return {
    slots: 1,
    inFlight: 0,
    queue: [],
    coldUntil: Infinity,
    coldPerS: DEFAULT_COLD_PER_S,
    coldTokens: 1,
    refilledAt: now,
    down: false,
    meanMs: INITIAL_MEAN_MS,
    meanByKind: new Map(),
    failShare: 0,
  };
}

/** True while the upstream counts as cold and its rate is limited. */
export function isCold(limiter: ConcurrencyLimiter, now: number): boolean {
  return now < limiter.coldUntil;
}

/** Sets how long the upstream counts as cold from now. */
export function setCold(
  limiter: ConcurrencyLimiter,
  forMs: number,
  now: number,
): void {
  if (!isCold(limiter, now) && forMs > 0) {
    // Requests that were just started also count against the cold rate.
    limiter.coldTokens = 0;
    limiter.refilledAt = now;
  }
  limiter.coldUntil = now + forMs;
}

/** Sets the rate that the upstream sustains while cold, per s; 0 if unknown. */
export function setColdRate(limiter: ConcurrencyLimiter, perS: number): void {
  limiter.coldPerS = perS > 0 ? perS : DEFAULT_COLD_PER_S;
}

function refillCold(limiter: ConcurrencyLimiter, now: number): void {
  const gained = ((now - limiter.refilledAt) / 1_000) * limiter.coldPerS;
  limiter.coldTokens = Math.min(COLD_BURST, limiter.coldTokens + gained);
  limiter.refilledAt = now;
}

/** Expected time from the start of a request to the end of its answer, ms. */
export function predictRunMs(
  limiter: ConcurrencyLimiter,
  kind: string,
): number {
  return limiter.meanByKind.get(kind) ?? limiter.meanMs;
}

/** Time that the entry needs to forward a refusal before the deadline, ms. */
const REFUSAL_MARGIN_MS = 15;

/**
 * Longest time that a request may be queued, ms. A request that can no longer
 * meet its deadline is refused early enough for the customer to retry.
 */
export function computeMaxWaitMs(
  limiter: ConcurrencyLimiter,
  kind: string,
  remainingMs: number,
): number {
  const neededMs = Math.max(REFUSAL_MARGIN_MS, predictRunMs(limiter, kind));
  return Math.max(1, remainingMs - neededMs);
}

/**
 * Number of requests that wait: queued ones and, at the same rate, those that
 * wait unread while the event loop lags. Without the latter a daemon that is
 * too busy to start requests would look idle to others.
 */
export function countWaiting(
  {queue, slots, meanMs}: ConcurrencyLimiter,
  lagMs: number,
): number {
  const unread = (lagMs / Math.max(1, meanMs)) * slots;
  return queue.length + Math.min(MAX_UNREAD, Math.round(unread));
}

/** Expected queue time of a request that arrives now, ms. */
export function predictWaitMs(
  limiter: ConcurrencyLimiter,
  rank: number,
  now: number,
): number {
  const ahead = limiter.queue.filter(item => item.request.rank <= rank).length;
  const cold = isCold(limiter, now);
  if (cold) refillCold(limiter, now);
  const free =
    limiter.inFlight < limiter.slots && (!cold || limiter.coldTokens >= 1);
  if (free && ahead === 0) return 0;
  const missing = Math.max(0, ahead + 1 - (limiter.slots - limiter.inFlight));
  const slotMs = (missing * limiter.meanMs) / limiter.slots;
  if (!cold) return slotMs;
  const tokens = Math.max(0, ahead + 1 - limiter.coldTokens);
  return Math.max(slotMs, (tokens * 1_000) / limiter.coldPerS);
}

/**
 * Starts, queues or refuses a request. It is queued only if its answer is
 * expected in time: a late request would use a slot that another request could
 * use in time.
 */
export function admit(
  limiter: ConcurrencyLimiter,
  request: LimiterRequest,
  now: number,
): void {
  if (limiter.down) return request.refuse('upstreamDown', 0);
  const waitMs = predictWaitMs(limiter, request.rank, now);
  if (waitMs > 0 && !isWorthWaiting(limiter, request, waitMs, now)) {
    const reason = isCold(limiter, now) ? 'cold' : 'full';
    return request.refuse(reason, waitMs);
  }
  enqueue(limiter, {request, since: now});
  startQueued(limiter, now);
}

function isWorthWaiting(
  limiter: ConcurrencyLimiter,
  request: LimiterRequest,
  waitMs: number,
  now: number,
): boolean {
  const runMs = predictRunMs(limiter, request.kind);
  const endAt = now + waitMs + runMs;
  if (endAt <= request.goalAt) return true;
  return endAt <= request.deadlineAt && waitMs <= runMs * LATE_WAIT_SHARE;
}

function enqueue(limiter: ConcurrencyLimiter, item: QueuedRequest): void {
  const {queue} = limiter;
  let i = queue.length;
  while (i > 0 && queue[i - 1].request.rank > item.request.rank) i--;
  queue.splice(i, 0, item);
}

/** Removes a request from the queue; false when it is not queued. */
export function removeQueued(
  limiter: ConcurrencyLimiter,
  request: LimiterRequest,
): boolean {
  const index = limiter.queue.findIndex(item => item.request === request);
  if (index < 0) return false;
  limiter.queue.splice(index, 1);
  return true;
}

/**
 * Starts queued requests while the limits allow it. Returns the time until the
 * cold rate allows the next start, ms; undefined when no request waits for it.
 */
export function startQueued(
  limiter: ConcurrencyLimiter,
  now: number,
): number | undefined {
  while (limiter.queue.length > 0 && limiter.inFlight < limiter.slots) {
    if (isCold(limiter, now)) {
      refillCold(limiter, now);
      if (limiter.coldTokens < 1) {
        return ((1 - limiter.coldTokens) * 1_000) / limiter.coldPerS;
      }
    }
    const {request, since} = limiter.queue.shift() as QueuedRequest;
    const late = now + predictRunMs(limiter, request.kind) > request.deadlineAt;
    if (now >= request.deadlineAt || (late && now > since)) {
      request.refuse('deadlineTooShort', 0);
      continue;
    }
    if (isCold(limiter, now)) limiter.coldTokens--;
    limiter.inFlight++;
    request.start();
  }
  return undefined;
}

/** Smoothing factor of the share of failed requests. */
const FAIL_GAIN = 0.08;

/** How a request at the upstream ended. */
export type LimiterResult = 'answered' | 'failed' | 'cancelled';

/** Releases the slot of a started request and records its result. */
export function release(
  limiter: ConcurrencyLimiter,
  kind: string,
  slotMs: number,
  result: LimiterResult,
  now: number,
): void {
  limiter.inFlight--;
  if (result !== 'cancelled') {
    const failed = result === 'failed' ? 1 : 0;
    limiter.failShare += FAIL_GAIN * (failed - limiter.failShare);
  }
  if (result === 'answered') recordDuration(limiter, kind, slotMs);
  startQueued(limiter, now);
}

function recordDuration(
  limiter: ConcurrencyLimiter,
  kind: string,
  slotMs: number,
): void {
  const {meanByKind} = limiter;
  if (meanByKind.size >= MAX_KINDS) meanByKind.clear();
  const known = meanByKind.get(kind) ?? slotMs;
  meanByKind.set(kind, known + MEAN_GAIN * (slotMs - known));
  limiter.meanMs += MEAN_GAIN * (slotMs - limiter.meanMs);
}

/** Refuses all queued requests. */
export function refuseQueued(
  limiter: ConcurrencyLimiter,
  reason: LimiterRefusal,
): void {
  const {queue} = limiter;
  limiter.queue = [];
  for (const {request} of queue) request.refuse(reason, 0);
}
