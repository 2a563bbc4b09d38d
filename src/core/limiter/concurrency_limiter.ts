import {takeToken} from '../token_bucket.js';
import {computeRateWaitMs, isCold, listRates} from './upstream_rates.js';
import {
  type ConcurrencyLimiter,
  type LimiterRefusal,
  type LimiterRequest,
  type QueuedRequest,
  predictRunMs,
  predictRunTime,
} from './limiter_state.js';
import {
  countReservedSlots,
  isWorthWaitingByWork,
  listDisplaced,
  orderBySlack,
  recordTurn,
  recordWorkArrival,
  takeLate,
  takesLateTurn,
} from '../placement/work_order.js';
import {listFreeTimes, predictSlotWaitMs} from '../placement/queue_wait.js';
import {recordRun} from '../placement/run_times.js';
import {
  insertOrdered,
  listAhead,
  pickNext,
  recordShareEnd,
  recordShareStart,
} from '../placement/queue_order.js';

/** Smoothing factor of the mean time in a slot. */
const MEAN_GAIN = 0.1;

/** Maximum number of kinds with a mean time; the map is cleared when full. */
const MAX_KINDS = 512;

/**
 * Maximum time in the queue of a request that will miss its goal, as a share of
 * its expected running time.
 */
const LATE_WAIT_SHARE = 0.5;

/** Time until the rates allow a request behind `ahead` others, ms. */
export function predictRateWaitMs(
  limiter: ConcurrencyLimiter,
  ahead: number,
  now: number,
): number {
  // An upstream that answers is expected to say very soon that it is warm.
  const rates = listRates(limiter, now).filter(
    rate => limiter.isConfirmationLate || rate !== limiter.unconfirmed,
  );
  return computeRateWaitMs(rates, ahead + 1, now);
}

/** Expected queue time of a request that arrives now, ms. */
export function predictWaitMs(
  limiter: ConcurrencyLimiter,
  item: QueuedRequest,
  now: number,
): number {
  const {queue, shares, slots, inFlight, learned} = limiter;
  const ahead = listAhead(queue, item, shares, now);
  const rateMs = predictRateWaitMs(limiter, ahead.length, now);
  if (learned) {
    const running = [...limiter.running.values()];
    const usable = slots - countReservedSlots(learned, item, slots, now);
    const runs = ahead.map(({request}) =>
      predictRunTime(limiter, request.kind),
    );
    return Math.max(predictSlotWaitMs(runs, running, usable, now), rateMs);
  }
  const missing = Math.max(0, ahead.length + 1 - (slots - inFlight));
  return Math.max((missing * limiter.meanMs) / slots, rateMs);
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
  const {learned} = limiter;
  const item = createItem(limiter, request, now);
  if (learned) recordWorkArrival(learned, item, now);
  if (!enqueueIfWorth(limiter, item, now)) return;
  startQueued(limiter, now);
  if (learned) refuseDisplaced(limiter, item, now);
}

/** Queues a request if it is worth waiting for its slot, and refuses it if not. */
function enqueueIfWorth(
  limiter: ConcurrencyLimiter,
  item: QueuedRequest,
  now: number,
): boolean {
  const waitMs = predictWaitMs(limiter, item, now);
  if (waitMs > 0 && !isWorthWaiting(limiter, item, waitMs, now)) {
    const reason = isCold(limiter, now) ? 'cold' : 'full';
    item.request.refuse(reason, waitMs);
    return false;
  }
  insertOrdered(limiter.queue, item);
  return true;
}

/** Decides anew on the requests that have waited so long that they will miss their
 * goals. */
function reviewLate(limiter: ConcurrencyLimiter, now: number): void {
  for (const item of takeLate(limiter.queue, now)) {
    enqueueIfWorth(limiter, item, now);
  }
}

function isWorthWaiting(
  {learned, running}: ConcurrencyLimiter,
  item: QueuedRequest,
  waitMs: number,
  now: number,
): boolean {
  const {request, runMs} = item;
  if (learned) {
    const runs = [...running.values()];
    const sumMs = runs.reduce((sum, {meanMs}) => sum + meanMs, 0);
    const meanMs = sumMs / Math.max(1, runs.length);
    return isWorthWaitingByWork(item, waitMs, meanMs, now);
  }
  const endAt = now + waitMs + runMs;
  if (endAt <= request.goalAt) return true;
  return endAt <= request.deadlineAt && waitMs <= runMs * LATE_WAIT_SHARE;
}

/** Refuses the requests that come too late as `item` goes before them. */
function refuseDisplaced(
  limiter: ConcurrencyLimiter,
  item: QueuedRequest,
  now: number,
): void {
  const {queue} = limiter;
  const index = queue.indexOf(item);
  if (index < 0 || index === queue.length - 1) return;
  const freeTimes = listFreeTimes(
    [...limiter.running.values()],
    limiter.slots,
    now,
  );
  const rates = listRates(limiter, now);
  const displaced = listDisplaced(queue, index, freeTimes, now, tokens =>
    computeRateWaitMs(rates, tokens, now),
  );
  for (const {
    item: {request},
    waitMs,
  } of displaced) {
    removeQueued(limiter, request);
    request.refuse(isCold(limiter, now) ? 'cold' : 'full', waitMs);
  }
}

function createItem(
  limiter: ConcurrencyLimiter,
  request: LimiterRequest,
  now: number,
): QueuedRequest {
  const runMs = predictRunMs(limiter, request.kind);
  const item = {request, since: now, orderAt: now, runMs, isLate: false};
  if (limiter.learned) orderBySlack(item, now);
  return item;
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
 * rates allow the next start, ms; undefined when no request waits for them.
 */
export function startQueued(
  limiter: ConcurrencyLimiter,
  now: number,
): number | undefined {
  if (limiter.learned) reviewLate(limiter, now);
  while (limiter.queue.length > 0 && limiter.inFlight < limiter.slots) {
    const rates = listRates(limiter, now);
    const waitMs = computeRateWaitMs(rates, 1, now);
    if (waitMs > 0) return waitMs;
    const next = takeNext(limiter, now);
    if (!next) return undefined;
    const {request, since} = next;
    const late = now + predictRunMs(limiter, request.kind) > request.deadlineAt;
    if (now >= request.deadlineAt || (late && now > since)) {
      request.refuse('deadlineTooShort', 0);
      continue;
    }
    for (const rate of rates) takeToken(rate, now);
    limiter.inFlight++;
    limiter.started++;
    recordStart(limiter, request, now);
    request.start();
  }
  return undefined;
}

/** Takes the request to start next from the queue; undefined when the free slots
 * are reserved for others. */
function takeNext(
  {queue, shares, learned, slots, inFlight}: ConcurrencyLimiter,
  now: number,
): QueuedRequest | undefined {
  if (!learned) return queue.splice(pickNext(queue, shares, now), 1)[0];
  const free = slots - inFlight;
  const startable = queue.filter(
    item => free > countReservedSlots(learned, item, slots, now),
  );
  if (startable.length === 0) return undefined;
  const isLateTurn = takesLateTurn(learned);
  const next = startable[pickNext(startable, shares, now, isLateTurn)];
  recordTurn(learned, next.isLate);
  return queue.splice(queue.indexOf(next), 1)[0];
}

function recordStart(
  limiter: ConcurrencyLimiter,
  request: LimiterRequest,
  now: number,
): void {
  const {organisation, kind} = request;
  if (organisation === undefined && !limiter.learned) return;
  const run = {...predictRunTime(limiter, kind), startedAt: now};
  limiter.running.set(request, run);
  if (organisation === undefined) return;
  recordShareStart(limiter.shares, organisation, run.meanMs, now);
}

/** Releases the slot of a started request and records its result. */
export function releaseRequest(
  limiter: ConcurrencyLimiter,
  request: LimiterRequest,
  slotMs: number,
  result: LimiterResult,
  now: number,
): void {
  const {running, shares, learned} = limiter;
  const {kind, organisation} = request;
  const run = running.get(request);
  running.delete(request);
  if (organisation !== undefined && run) {
    recordShareEnd(shares, organisation, run.meanMs, slotMs, now);
  }
  // A run that was ended at its deadline would have taken longer still.
  const isLong = result === 'failed' && slotMs > predictRunMs(limiter, kind);
  if (learned && (result === 'answered' || isLong)) {
    recordRun(learned.runTimes, kind, slotMs);
  }
  release(limiter, kind, slotMs, result, now);
}

/** Smoothing factor of the share of failed requests. */
const FAIL_GAIN = 0.08;

/** How a request at the upstream ended. */
export type LimiterResult = 'answered' | 'failed' | 'cancelled';

/** Releases the slot of a started request that belongs to no organisation and
 * records its result. */
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
