// Decides, with placement by work, how a rank is ordered by slack, and which
// requests are refused as they would come too late.
import {type OrderTerms, type OrderedRequest} from './queue_order.js';
import {takeFreeTime} from './queue_wait.js';
import {type RunTimes, predictRun} from './run_times.js';
import {
  type ArrivalsByKind,
  countReserved,
  recordArrival,
} from './slot_reserve.js';

/** Of so many starts one is that of a late request while any waits, so that a kind
 * whose goal can't be met is served. More of them would make others late. */
const LATE_TURN = 16;

/** Share of the time that a late request has left that it may wait: those that can
 * still meet their goals go before it all the while. */
const LATE_WAIT_SHARE = 0.25;

/** The same for a short one, which takes little from the others. */
const SHORT_WAIT_SHARE = 0.5;

/** Time of a short request relative to the mean of those that hold slots. */
const SHORT_RUN = 0.5;

/** Terms of a request that has a goal and a deadline, monotonic ms. */
export interface DueTerms extends OrderTerms {
  readonly kind: string;
  readonly goalAt: number;
  readonly deadlineAt: number;
}

type DueRequest = OrderedRequest<DueTerms>;

/** What the queue of one upstream has learned. */
export interface LearnedWork {
  readonly runTimes: RunTimes;
  readonly arrivals: ArrivalsByKind;
  /** Starts since that of the last late request. */
  sinceLate: number;
}

/** Creates an empty state. */
export function createLearnedWork(): LearnedWork {
  return {runTimes: new Map(), arrivals: new Map(), sinceLate: 0};
}

/** Orders a request by the latest start at which it meets its goal, or, when it is
 * too late for that, its deadline. */
export function orderBySlack(item: DueRequest, now: number): void {
  const {request, runMs} = item;
  item.isLate = now + runMs > request.goalAt;
  item.orderAt = (item.isLate ? request.deadlineAt : request.goalAt) - runMs;
}

/** Removes the requests that have become late from the queue, and returns them with
 * their new places in the order. */
export function takeLate<T extends DueRequest>(queue: T[], now: number): T[] {
  const late = queue.filter(({isLate, orderAt}) => !isLate && orderAt < now);
  for (const item of late) {
    queue.splice(queue.indexOf(item), 1);
    orderBySlack(item, now);
  }
  return late;
}

/** Records a request that has arrived. */
export function recordWorkArrival(
  {arrivals}: LearnedWork,
  {request, runMs}: DueRequest,
  now: number,
): void {
  recordArrival(arrivals, request.kind, request.goalAt - runMs - now, now);
}

/** Slots that a request leaves free for more urgent ones. */
export function countReservedSlots(
  {arrivals, runTimes}: LearnedWork,
  {runMs, orderAt}: OrderedRequest,
  slots: number,
  now: number,
): number {
  const terms = {runMs, slackMs: orderAt - now};
  const predict = (kind: string) => predictRun(runTimes, kind, runMs);
  return countReserved(arrivals, predict, terms, slots, now);
}

/** True when the next start is that of a late request, if any waits. */
export function takesLateTurn({sinceLate}: LearnedWork): boolean {
  return sinceLate >= LATE_TURN - 1;
}

/** Records a start. */
export function recordTurn(learned: LearnedWork, isLate: boolean): void {
  learned.sinceLate = isLate ? 0 : learned.sinceLate + 1;
}

/** True when a request that waits for `waitMs` is worth its slot; the running ones
 * take `meanMs` on average. */
export function isWorthWaitingByWork(
  {request, runMs}: DueRequest,
  waitMs: number,
  meanMs: number,
  now: number,
): boolean {
  const endAt = now + waitMs + runMs;
  if (endAt <= request.goalAt) return true;
  const isShort = runMs <= meanMs * SHORT_RUN;
  const leftMs = request.deadlineAt - now - runMs;
  return waitMs <= leftMs * (isShort ? SHORT_WAIT_SHARE : LATE_WAIT_SHARE);
}

/**
 * Lists the requests behind `index` that can't be answered in time any more, with
 * their expected waits: a request that goes before others takes their places. The
 * slots are free at `freeTimes`, which is changed; `computeRateMs` is the time until
 * the rates allow a number of requests.
 */
export function listDisplaced<T extends DueRequest>(
  queue: readonly T[],
  index: number,
  freeTimes: number[],
  now: number,
  computeRateMs: (tokens: number) => number,
): Array<{item: T; waitMs: number}> {
  const displaced: Array<{item: T; waitMs: number}> = [];
  let tokens = 0;
  for (const [i, item] of queue.entries()) {
    const {request, runMs} = item;
    const waitMs = Math.max(freeTimes[0] ?? 0, computeRateMs(tokens + 1));
    if (i > index && now + waitMs + runMs > request.deadlineAt) {
      displaced.push({item, waitMs});
      continue;
    }
    tokens++;
    takeFreeTime(freeTimes, runMs);
  }
  return displaced;
}
