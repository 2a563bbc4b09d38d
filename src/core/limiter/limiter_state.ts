import type {SidecarSettings} from '../../types/mesh.js';
import type {
  OrderedRequest,
  OrganisationShares,
} from '../placement/queue_order.js';
import type {RunningRequest} from '../placement/queue_wait.js';
import {type RunTime, predictRun} from '../placement/run_times.js';
import {type LearnedWork, createLearnedWork} from '../placement/work_order.js';
import {
  type ColdBound,
  type UpstreamRates,
  createRates,
} from './upstream_rates.js';

/** Mean time in a slot assumed before the first answer, ms. */
const INITIAL_MEAN_MS = 50;

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
  /** Organisation of the customer; undefined for requests without one. */
  readonly organisation?: string;
  /** Monotonic time of the response goal, ms; later answers are worth less. */
  readonly goalAt: number;
  /** Monotonic time after which an answer is useless, ms. */
  readonly deadlineAt: number;
  start(): void;
  refuse(reason: LimiterRefusal, retryAfterMs: number): void;
}

/** A request that waits for a slot. */
export interface QueuedRequest extends OrderedRequest<LimiterRequest> {
  /** Monotonic time of its arrival, ms. */
  readonly since: number;
}

/**
 * Limits concurrency and rate of the local upstream. All its requests pass
 * through here, so the limits need no coordination between daemons.
 */
export interface ConcurrencyLimiter extends UpstreamRates {
  slots: number;
  inFlight: number;
  queue: QueuedRequest[];
  down: boolean;
  /** Mean time that a request holds its slot, ms. */
  meanMs: number;
  readonly meanByKind: Map<string, number>;
  /** Moving average of the share of failed requests, 0 to 1. */
  failShare: number;
  /** Work of the organisations whose requests it has started. */
  readonly shares: OrganisationShares;
  /** Running requests: of organisations, and with placement by work all. */
  readonly running: Map<LimiterRequest, RunningRequest>;
  /** What placement by work learns; undefined without it. */
  readonly learned?: LearnedWork;
}

/** Creates a limiter; its upstream counts as cold until its state is known. */
export function createLimiter(
  now: number,
  placement: SidecarSettings['placement'] = 'requests',
  coldBound?: ColdBound,
): ConcurrencyLimiter {
  return {
    learned: placement === 'work' ? createLearnedWork() : undefined,
    slots: 1,
    inFlight: 0,
    queue: [],
    ...createRates(now, coldBound),
    down: false,
    meanMs: INITIAL_MEAN_MS,
    meanByKind: new Map(),
    failShare: 0,
    shares: new Map(),
    running: new Map(),
  };
}

/** Slots that requests can fill at the rate that the upstream states. */
export function countUsableSlots({
  slots,
  statedPerS,
  meanMs,
}: ConcurrencyLimiter): number {
  if (statedPerS === undefined) return slots;
  const busySlots = Math.ceil((statedPerS * meanMs) / 1_000);
  return Math.min(slots, Math.max(1, busySlots));
}

/** Expected time from the start of a request to the end of its answer, ms. */
export function predictRunMs(
  limiter: ConcurrencyLimiter,
  kind: string,
): number {
  const {learned, meanByKind, meanMs} = limiter;
  if (learned) return predictRun(learned.runTimes, kind, meanMs).meanMs;
  return meanByKind.get(kind) ?? meanMs;
}

/** Time in which a slot of an upstream that refuses requests as full comes free, ms;
 * 0, for unknown, without placement by work. */
export function predictFreeSlotMs({
  learned,
  meanMs,
  slots,
}: ConcurrencyLimiter): number {
  return learned ? meanMs / slots : 0;
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

/** Expected time of a request in its slot. */
export function predictRunTime(
  limiter: ConcurrencyLimiter,
  kind: string,
): RunTime {
  const {learned, meanMs} = limiter;
  if (learned) return predictRun(learned.runTimes, kind, meanMs);
  return {meanMs: predictRunMs(limiter, kind), variance: 0};
}
