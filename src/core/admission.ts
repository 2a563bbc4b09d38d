import PQueue from 'p-queue';
import {PRIORITIES, type Priority} from '../types/document.js';
import type {Outcome} from '../types/verdict.js';
import {
  createLimit,
  isLimitCold,
  isSlow,
  recordAnswer,
  recordFault,
  resetToCold,
  setCeiling,
  type Limit,
} from './limits.js';
import {
  checkStall,
  createStall,
  recordEnd,
  recordProgress,
  recordStart,
  type Stall,
} from './stall.js';

/** Waiting time that raises a request by one priority class, ms. */
export const AGE_STEP_MS = 500;

/** Maximum number of waiting requests, whose bodies are held in memory. */
export const MAX_QUEUED = 1_000;

/** Smoothing factor of the mean time in a slot. */
const MEAN_GAIN = 0.1;

/** Limits of one upstream, from its service in the document. */
export interface AdmissionConfig {
  readonly slots: number;
  readonly connections: number;
  readonly downloadShare: number;
  readonly expectedMs: number;
}

/** Load of an upstream as reported to entries. */
export interface LoadHint {
  readonly limit: number;
  readonly inFlight: number;
  readonly queued: number;
  readonly cold: boolean;
  readonly stalled: boolean;
}

/**
 * Event of a running request. `answered`: headers of a response; `errored`:
 * headers with a 5xx status; `progress`: bytes of the body; `shed`: refused by
 * the upstream without running; `abandoned`: deadline passed or cancelled;
 * `failed`: connection broken. Only the first event other than `progress`
 * affects the limit.
 */
export type RequestEvent =
  'answered' | 'errored' | 'progress' | 'shed' | 'abandoned' | 'failed';

/** Request submitted for a slot. */
export interface Work<T> {
  readonly priority: Priority;
  /** Monotonic time, ms. */
  readonly deadlineAt: number;
  /** Route name; requests of one kind share a latency baseline. */
  readonly kind?: string;
  /** Removes the request while it waits; ignored once it runs. */
  readonly signal?: AbortSignal;
  /** Called right before the start; a returned outcome refuses the request. */
  readonly checkBeforeStart?: () => Outcome | undefined;
  readonly run: (report: (event: RequestEvent) => void) => Promise<T>;
}

/** Result of `submit`; work with `started: false` has not run at all. */
export type SubmitResult<T> =
  {started: true; value: T} | {started: false; outcome: Outcome | 'cancelled'};

interface Job {
  readonly kind: string;
  readonly priority: Priority;
  readonly deadlineAt: number;
  readonly arrivedAt: number;
  /** Lower goes first. */
  readonly order: number;
  /** Aborted to remove the job from the queue, never after its start. */
  readonly removal: AbortController;
  refusal?: Outcome | 'cancelled';
  startedAt: number;
  /** Epoch of the limit when the job was started. */
  epoch: number;
  /** True once an event of the job has been applied to the limit. */
  counted: boolean;
  /** True once its deadline has passed or it was cancelled. */
  abandoned: boolean;
}

/** Admission control of one upstream. */
export interface Admission {
  config: AdmissionConfig;
  /** Monotonic clock, ms; read again when queued work starts. */
  readonly now: () => number;
  readonly limit: Limit;
  readonly queue: PQueue;
  /** Limits how many downloads enter the main queue at once. */
  readonly downloads: PQueue;
  readonly waiting: Set<Job>;
  readonly stall: Stall;
  /** Mean time that a request occupies its slot, ms. */
  meanMs: {download: number; other: number};
}

/** Creates the admission control of an upstream that has just started. */
export function createAdmission(
  config: AdmissionConfig,
  now: () => number,
): Admission {
  return {
    config,
    now,
    limit: createLimit(readCeiling(config), config.expectedMs),
    queue: new PQueue({concurrency: 1}),
    downloads: new PQueue({concurrency: 1}),
    waiting: new Set(),
    stall: createStall(),
    meanMs: {download: config.expectedMs, other: config.expectedMs},
  };
}

/** Applies changed limits of the service. */
export function configureAdmission(
  admission: Admission,
  config: AdmissionConfig,
): void {
  admission.config = config;
  admission.limit.expectedMs = config.expectedMs;
  setCeiling(admission.limit, readCeiling(config));
  applyLimit(admission);
}

/** Resets the limit to the cold limit. */
export function resetLimit(admission: Admission): void {
  resetToCold(admission.limit);
  applyLimit(admission);
}

/** Runs the work once a slot is free, or refuses it without starting it. */
export async function submit<T>(
  admission: Admission,
  work: Work<T>,
): Promise<SubmitResult<T>> {
  const job = createJob(admission, work);
  const refusal = checkArrival(admission, work, job);
  if (refusal !== undefined) return {started: false, outcome: refusal};
  const cancel = () => removeJob(admission, job, 'cancelled');
  work.signal?.addEventListener('abort', cancel);
  admission.waiting.add(job);
  try {
    return await enqueue(admission, job, work);
  } catch (err) {
    if (job.refusal === undefined) throw err;
    return {started: false, outcome: job.refusal};
  } finally {
    work.signal?.removeEventListener('abort', cancel);
  }
}

/** Refuses all waiting work; running work continues. */
export function flushQueue(admission: Admission, outcome: Outcome): void {
  for (const job of [...admission.waiting]) removeJob(admission, job, outcome);
}

/** Refuses waiting work past its deadline and checks for a stall. */
export function tickAdmission(admission: Admission, now: number): void {
  for (const job of [...admission.waiting]) {
    if (now >= job.deadlineAt) removeJob(admission, job, 'deadlineBeforeSend');
  }
  if (checkStall(admission.stall, now)) resetLimit(admission);
}

/** Reads the load of the upstream. */
export function readLoad(admission: Admission): LoadHint {
  return {
    limit: admission.limit.value,
    inFlight: admission.stall.inFlight,
    queued: admission.waiting.size,
    cold: isLimitCold(admission.limit),
    stalled: admission.stall.stalled,
  };
}

/**
 * Formats a load hint as a header value: limit, inFlight, queued, cold. The
 * limit of a stalled upstream is sent as 0, so that entries see no free
 * capacity.
 */
export function formatLoad(load: LoadHint): string {
  const limit = load.stalled ? 0 : load.limit;
  return [limit, load.inFlight, load.queued, Number(load.cold)].join(',');
}

function readCeiling(config: AdmissionConfig): number {
  return Math.min(config.slots, config.connections);
}

function createJob<T>(admission: Admission, work: Work<T>): Job {
  // Ordering by arrival time plus a delay per class is equivalent to raising
  // each waiting request by one class per AGE_STEP_MS.
  const classDelayMs = PRIORITIES.indexOf(work.priority) * AGE_STEP_MS;
  return {
    kind: work.kind ?? '',
    priority: work.priority,
    deadlineAt: work.deadlineAt,
    arrivedAt: admission.now(),
    order: admission.now() + classDelayMs,
    removal: new AbortController(),
    startedAt: 0,
    epoch: 0,
    counted: false,
    abandoned: false,
  };
}

function checkArrival<T>(
  admission: Admission,
  work: Work<T>,
  job: Job,
): Outcome | 'cancelled' | undefined {
  if (work.signal?.aborted) return 'cancelled';
  const remainingMs = work.deadlineAt - admission.now();
  if (remainingMs <= 0) return 'deadlineBeforeSend';
  const cold = isLimitCold(admission.limit);
  if (admission.waiting.size >= MAX_QUEUED) return cold ? 'cold' : 'full';
  const waitMs = predictWaitMs(admission, job);
  if (waitMs === 0) return undefined;
  if (waitMs + predictAnswerMs(admission, job) <= remainingMs) return undefined;
  return cold ? 'cold' : 'deadlineTooShort';
}

/** Expected time from the start of a request to its response headers, ms. */
function predictAnswerMs({limit}: Admission, job: Job): number {
  return limit.baselines.get(job.kind) ?? limit.expectedMs;
}

function predictWaitMs(admission: Admission, job: Job): number {
  const ahead = [...admission.waiting].filter(
    other => other.order <= job.order,
  );
  const waitMs =
    (ahead.length / admission.limit.value) * admission.meanMs.other;
  if (job.priority !== 'download') return waitMs;
  const downloadSlots = admission.downloads.concurrency;
  const downloadsAhead = ahead.filter(
    other => other.priority === 'download',
  ).length;
  return Math.max(
    waitMs,
    (downloadsAhead / downloadSlots) * admission.meanMs.download,
  );
}

function enqueue<T>(
  admission: Admission,
  job: Job,
  work: Work<T>,
): Promise<SubmitResult<T>> {
  const {signal} = job.removal;
  const addToQueue = () =>
    admission.queue.add(() => runJob(admission, job, work), {
      priority: -job.order,
      signal,
    });
  if (job.priority !== 'download') return addToQueue();
  return admission.downloads.add(addToQueue, {signal});
}

function removeJob(
  admission: Admission,
  job: Job,
  refusal: Outcome | 'cancelled',
): void {
  if (!admission.waiting.delete(job)) return;
  job.refusal = refusal;
  job.removal.abort();
}

async function runJob<T>(
  admission: Admission,
  job: Job,
  work: Work<T>,
): Promise<SubmitResult<T>> {
  admission.waiting.delete(job);
  const now = admission.now();
  const refusal = checkStart(admission, job, now) ?? work.checkBeforeStart?.();
  if (refusal !== undefined) return {started: false, outcome: refusal};
  job.startedAt = now;
  job.epoch = admission.limit.epoch;
  recordStart(admission.stall, now);
  try {
    const value = await work.run(event =>
      handleRequestEvent(admission, job, event),
    );
    return {started: true, value};
  } finally {
    endJob(admission, job);
  }
}

/**
 * Refuses waiting work that can no longer be answered in time. If started, it
 * would use a slot and end as a request that may have run. Work that did not
 * wait is always started, so that a wrong estimate is corrected by its result.
 */
function checkStart(
  admission: Admission,
  job: Job,
  now: number,
): Outcome | undefined {
  if (now >= job.deadlineAt) return 'deadlineBeforeSend';
  const isTooLate = now + predictAnswerMs(admission, job) > job.deadlineAt;
  const waited = now > job.arrivedAt;
  return isTooLate && waited ? 'deadlineTooShort' : undefined;
}

function endJob(admission: Admission, job: Job): void {
  const now = admission.now();
  recordEnd(admission.stall, job.abandoned, now);
  const group = job.priority === 'download' ? 'download' : 'other';
  const slotMs = now - job.startedAt;
  admission.meanMs[group] += MEAN_GAIN * (slotMs - admission.meanMs[group]);
}

function handleRequestEvent(
  admission: Admission,
  job: Job,
  event: RequestEvent,
): void {
  const now = admission.now();
  // A request that ended without an answer is not progress; otherwise
  // deadlines shorter than STALL_MS would prevent the detection of a stall.
  if (event === 'abandoned') job.abandoned = true;
  else recordProgress(admission.stall, now);
  if (event === 'progress' || job.counted) return;
  job.counted = true;
  // Fast failures do not show that the upstream can handle more load.
  if (event === 'errored') return;
  if (job.epoch !== admission.limit.epoch) return;
  const {limit} = admission;
  const ms = now - job.startedAt;
  if (event === 'answered') {
    recordAnswer(limit, job.kind, ms, admission.stall.inFlight);
  } else if (event !== 'abandoned' || isSlow(limit, job.kind, ms)) {
    recordFault(limit);
  }
  applyLimit(admission);
}

function applyLimit(admission: Admission): void {
  const {value} = admission.limit;
  const downloadSlots = Math.floor(value * admission.config.downloadShare);
  admission.downloads.concurrency = Math.max(1, downloadSlots);
  admission.queue.concurrency = value;
}
