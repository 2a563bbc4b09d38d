/** Requests per second that a cold upstream of unknown rate gets. */
const DEFAULT_COLD_PER_S = 5;

/** Requests that a cold upstream may get at once, beyond its rate. */
const COLD_BURST = 3;

/** Weight of the newest time in the mean. */
const MEAN_GAIN = 0.1;

/** Time of a request before any has been measured, ms. */
const INITIAL_MEAN_MS = 50;

/** Kinds of requests whose times are kept; the map starts anew beyond it. */
const MAX_KINDS = 512;

/** Part of its own running time that a late request may wait. */
const LATE_WAIT_SHARE = 0.5;

/** Why a request was not started. */
export type LimiterRefusal =
  'full' | 'cold' | 'deadlineTooShort' | 'upstreamDown';

/** A request that asks for a slot of the upstream. */
export interface LimiterRequest {
  /** Requests of one kind take similar times; the route name. */
  readonly kind: string;
  /** 0 goes first. */
  readonly rank: number;
  /** Monotonic time up to which an answer has its full value, ms. */
  readonly goalAt: number;
  /** Monotonic time up to which an answer is of use, ms. */
  readonly deadlineAt: number;
  start(): void;
  refuse(reason: LimiterRefusal, retryAfterMs: number): void;
}

interface QueuedRequest {
  readonly work: LimiterRequest;
  readonly since: number;
}

/**
 * Admission to the upstream beside the daemon. All requests for the upstream
 * pass here, so its slots and its cold rate hold without any agreement.
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
  /** Share of failed requests, recent ones weighing most. */
  failShare: number;
}

/** Creates the gate of an upstream that is taken to be cold until it is known. */
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

/** True while the cold rate limits the starts. */
export function isLimiterCold(
  limiter: ConcurrencyLimiter,
  now: number,
): boolean {
  return now < limiter.coldUntil;
}

/** Sets how long the upstream counts as cold from now. */
export function setCold(
  limiter: ConcurrencyLimiter,
  forMs: number,
  now: number,
): void {
  if (!isLimiterCold(limiter, now) && forMs > 0) {
    // What has been started just now counts against the cold rate as well.
    limiter.coldTokens = 0;
    limiter.refilledAt = now;
  }
  limiter.coldUntil = now + forMs;
}

/** Sets the rate that the upstream bears while cold; 0 for unknown. */
export function setColdRate(limiter: ConcurrencyLimiter, perS: number): void {
  limiter.coldPerS = perS > 0 ? perS : DEFAULT_COLD_PER_S;
}

function refillCold(limiter: ConcurrencyLimiter, now: number): void {
  const gained = ((now - limiter.refilledAt) / 1_000) * limiter.coldPerS;
  limiter.coldTokens = Math.min(COLD_BURST, limiter.coldTokens + gained);
  limiter.refilledAt = now;
}

/** Expected time from the start of a request to its answer, ms. */
export function expectMs(limiter: ConcurrencyLimiter, kind: string): number {
  return limiter.meanByKind.get(kind) ?? limiter.meanMs;
}

/** Time that the entry needs to pass on a refusal before its deadline, ms. */
const REFUSAL_MARGIN_MS = 15;

/**
 * Longest time that a request may wait for its start, ms. What cannot end
 * within its limit any more is refused while its customer can still come back.
 */
export function computeMaxWaitMs(
  limiter: ConcurrencyLimiter,
  kind: string,
  limitMs: number,
): number {
  const neededMs = Math.max(REFUSAL_MARGIN_MS, expectMs(limiter, kind));
  return Math.max(1, limitMs - neededMs);
}

/** Expected wait of a request that arrives now, ms. */
export function expectWaitMs(
  limiter: ConcurrencyLimiter,
  rank: number,
  now: number,
): number {
  const ahead = limiter.queue.filter(item => item.work.rank <= rank).length;
  const cold = isLimiterCold(limiter, now);
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
 * Starts a request, lets it wait, or refuses it at once. It waits only while
 * its answer can be expected in time: work that ends late takes the slot from
 * work that does not.
 */
export function admit(
  limiter: ConcurrencyLimiter,
  work: LimiterRequest,
  now: number,
): void {
  if (limiter.down) return work.refuse('upstreamDown', 0);
  const waitMs = expectWaitMs(limiter, work.rank, now);
  if (waitMs > 0 && !isWorthWaiting(limiter, work, waitMs, now)) {
    const reason = isLimiterCold(limiter, now) ? 'cold' : 'full';
    return work.refuse(reason, waitMs);
  }
  enqueue(limiter, {work, since: now});
  startQueued(limiter, now);
}

function isWorthWaiting(
  limiter: ConcurrencyLimiter,
  work: LimiterRequest,
  waitMs: number,
  now: number,
): boolean {
  const runMs = expectMs(limiter, work.kind);
  const endAt = now + waitMs + runMs;
  if (endAt <= work.goalAt) return true;
  return endAt <= work.deadlineAt && waitMs <= runMs * LATE_WAIT_SHARE;
}

function enqueue(limiter: ConcurrencyLimiter, item: QueuedRequest): void {
  const {queue: waiting} = limiter;
  let at = waiting.length;
  while (at > 0 && waiting[at - 1].work.rank > item.work.rank) at--;
  waiting.splice(at, 0, item);
}

/** Removes a request that waits; false when it does not. */
export function removeQueued(
  limiter: ConcurrencyLimiter,
  work: LimiterRequest,
): boolean {
  const at = limiter.queue.findIndex(item => item.work === work);
  if (at < 0) return false;
  limiter.queue.splice(at, 1);
  return true;
}

/**
 * Starts what may start. Returns the time until the cold rate allows the next
 * start, ms; undefined when nothing waits for it.
 */
export function startQueued(
  limiter: ConcurrencyLimiter,
  now: number,
): number | undefined {
  while (limiter.queue.length > 0 && limiter.inFlight < limiter.slots) {
    if (isLimiterCold(limiter, now)) {
      refillCold(limiter, now);
      if (limiter.coldTokens < 1) {
        return ((1 - limiter.coldTokens) * 1_000) / limiter.coldPerS;
      }
    }
    const {work, since} = limiter.queue.shift() as QueuedRequest;
    const late = now + expectMs(limiter, work.kind) > work.deadlineAt;
    if (now >= work.deadlineAt || (late && now > since)) {
      work.refuse('deadlineTooShort', 0);
      continue;
    }
    if (isLimiterCold(limiter, now)) limiter.coldTokens--;
    limiter.inFlight++;
    work.start();
  }
  return undefined;
}

/** Weight of one result in the share of failures. */
const FAIL_GAIN = 0.08;

/** Result of a request at the upstream. */
export type LimiterResult = 'answered' | 'failed' | 'cancelled';

/** Ends a request that was started. */
export function release(
  limiter: ConcurrencyLimiter,
  kind: string,
  heldMs: number,
  result: LimiterResult,
  now: number,
): void {
  limiter.inFlight--;
  if (result !== 'cancelled') {
    const failed = result === 'failed' ? 1 : 0;
    limiter.failShare += FAIL_GAIN * (failed - limiter.failShare);
  }
  if (result === 'answered') recordDuration(limiter, kind, heldMs);
  startQueued(limiter, now);
}

function recordDuration(
  limiter: ConcurrencyLimiter,
  kind: string,
  heldMs: number,
): void {
  const {meanByKind} = limiter;
  if (meanByKind.size >= MAX_KINDS) meanByKind.clear();
  const known = meanByKind.get(kind) ?? heldMs;
  meanByKind.set(kind, known + MEAN_GAIN * (heldMs - known));
  limiter.meanMs += MEAN_GAIN * (heldMs - limiter.meanMs);
}

/** Refuses all waiting requests. */
export function refuseQueued(
  limiter: ConcurrencyLimiter,
  reason: LimiterRefusal,
): void {
  const {queue: waiting} = limiter;
  limiter.queue = [];
  for (const {work} of waiting) work.refuse(reason, 0);
}
