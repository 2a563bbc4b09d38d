/** Share of the limit that answers of new requests may use; the rest is for
 * those of requests in progress that are larger than expected. */
const NEW_WORK_SHARE = 0.8;

/** Share of the limit below which a shortage of memory has ended. */
const SHORTAGE_END_SHARE = 0.6;

/** Time without progress after which a connection counts as stalled, ms: the
 * kernel takes bytes in steps that a slow reader needs seconds for. */
const STALLED_MS = 5_000;

/** Smoothing factor of the mean size of a route's answers. */
const SIZE_GAIN = 0.1;

/** An answer that is being received. */
export interface PendingAnswer {
  /** Bytes received so far. */
  readonly size: number;
  /** Ends the call and frees the bytes. */
  drop(): void;
}

/** A complete answer that is being written to whom it is for. */
export interface WaitingAnswer {
  readonly size: number;
  /** Monotonic time after which nobody waits for the answer, ms. */
  readonly deadlineAt: number;
  /** Writes that the kernel has not taken completely. */
  openWrites: number;
  /** Monotonic time of the latest progress, ms: a write was taken completely, or
   * begun when none was open. */
  progressAt: number;
  /** Closes the connection, which frees the bytes. */
  drop(): void;
}

/** Why an answer was dropped: nobody waits for it, or it is the largest of those
 * that are being received. */
export type DropCause = 'stalled' | 'largest';

/** Events of a budget. */
export interface AnswerEvents {
  /** Called before an answer is dropped. */
  onDrop?(cause: DropCause, bytes: number): void;
  /** Called when new requests begin to be refused, and when that has ended. */
  onShortage?(budget: AnswerBudget): void;
}

/**
 * Memory for answers. An answer counts from its first byte until the connection
 * that it is written to has taken its last one or is closed.
 */
export interface AnswerBudget {
  readonly limitBytes: number;
  /** Time without progress after which a connection counts as stalled, ms. */
  readonly stalledMs: number;
  /** Bytes of all answers. */
  usedBytes: number;
  /** Bytes that calls in progress are expected to receive. */
  expectedBytes: number;
  /** Bytes of the answers that are being written. */
  waitingBytes: number;
  /** Answers that are being received. */
  readonly answers: Set<PendingAnswer>;
  /** Answers that are being written, the oldest first. */
  readonly waiting: Set<WaitingAnswer>;
  /** Mean size of the answers by route name, bytes. */
  readonly meanBytes: Map<string, number>;
  /** True from a refusal for lack of memory until there is ample room again. */
  isShort: boolean;
  readonly events: AnswerEvents;
  /** Monotonic clock, ms. */
  readonly now: () => number;
}

/** Creates an empty budget. */
export function createAnswerBudget(
  limitBytes: number,
  now: () => number = () => performance.now(),
  events: AnswerEvents = {},
): AnswerBudget {
  return {
    limitBytes,
    stalledMs: STALLED_MS,
    usedBytes: 0,
    expectedBytes: 0,
    waitingBytes: 0,
    answers: new Set(),
    waiting: new Set(),
    meanBytes: new Map(),
    isShort: false,
    events,
    now,
  };
}

/** Returns the expected size of a route's answer, bytes; 0 if none is known. */
export function predictAnswerBytes(
  {meanBytes}: AnswerBudget,
  route: string,
): number {
  return Math.round(meanBytes.get(route) ?? 0);
}

/** Records the size of a successful answer of a route, bytes. Refusals and empty
 * answers would lower the mean just when memory is short. */
export function recordAnswerBytes(
  {meanBytes}: AnswerBudget,
  route: string,
  bytes: number,
): void {
  if (bytes === 0) return;
  const mean = meanBytes.get(route) ?? bytes;
  meanBytes.set(route, mean + SIZE_GAIN * (bytes - mean));
}

/**
 * True when there is memory for the answer to a new request of a route. Stalled
 * answers that nobody waits for make room for it.
 */
export function hasAnswerRoom(budget: AnswerBudget, route: string): boolean {
  const {events, limitBytes} = budget;
  const neededBytes = predictAnswerBytes(budget, route);
  if (!fitsNewWork(budget, neededBytes)) {
    dropStalled(budget, () => fitsNewWork(budget, neededBytes));
  }
  const fits = fitsNewWork(budget, neededBytes);
  const isAmple = countHeldBytes(budget) <= limitBytes * SHORTAGE_END_SHARE;
  const isShort = budget.isShort ? !fits || !isAmple : !fits;
  if (isShort !== budget.isShort) {
    budget.isShort = isShort;
    events.onShortage?.(budget);
  }
  return fits;
}

function countHeldBytes({usedBytes, expectedBytes}: AnswerBudget): number {
  return usedBytes + expectedBytes;
}

function fitsNewWork(budget: AnswerBudget, neededBytes: number): boolean {
  const heldBytes = countHeldBytes(budget);
  // An answer of any size may use a budget that is empty.
  if (heldBytes === 0) return true;
  return heldBytes + neededBytes <= budget.limitBytes * NEW_WORK_SHARE;
}

/** Drops stalled answers that nobody waits for, the oldest first, until there is
 * enough room. */
function dropStalled(budget: AnswerBudget, isEnough: () => boolean): void {
  const now = budget.now();
  for (const answer of [...budget.waiting]) {
    const {openWrites, progressAt, deadlineAt, size} = answer;
    if (openWrites === 0 || now < deadlineAt) continue;
    if (now - progressAt < budget.stalledMs) continue;
    budget.events.onDrop?.('stalled', size);
    answer.drop();
    if (isEnough()) return;
  }
}

/**
 * Records bytes that an answer has received. Above the limit, and if no stalled
 * answer makes room, the largest of those that are being received is dropped: it
 * may have no end, and smaller ones must not fail for it.
 */
export function chargeAnswer(
  budget: AnswerBudget,
  answer: PendingAnswer,
  bytes: number,
): void {
  budget.answers.add(answer);
  budget.usedBytes += bytes;
  const fits = () => budget.usedBytes <= budget.limitBytes;
  if (fits()) return;
  dropStalled(budget, fits);
  if (fits()) return;
  let largest = answer;
  for (const other of budget.answers) {
    if (other.size > largest.size) largest = other;
  }
  budget.events.onDrop?.('largest', largest.size);
  largest.drop();
}

/** Releases the bytes of an answer that was not received completely. */
export function releaseAnswer(
  budget: AnswerBudget,
  answer: PendingAnswer,
): void {
  if (budget.answers.delete(answer)) budget.usedBytes -= answer.size;
}

/** Keeps the bytes of an answer that was received completely; returns the
 * function that releases them, which does so once. */
export function keepAnswer(
  budget: AnswerBudget,
  answer: PendingAnswer,
): () => void {
  const {size} = answer;
  if (!budget.answers.delete(answer)) return () => {};
  let released = false;
  return () => {
    if (released) return;
    released = true;
    budget.usedBytes -= size;
  };
}

/** Registers an answer that is about to be written. */
export function addWaiting(budget: AnswerBudget, answer: WaitingAnswer): void {
  budget.waiting.add(answer);
  budget.waitingBytes += answer.size;
}

/** Removes an answer that was written or whose connection is closed. */
export function removeWaiting(
  budget: AnswerBudget,
  answer: WaitingAnswer,
): void {
  if (budget.waiting.delete(answer)) budget.waitingBytes -= answer.size;
}
