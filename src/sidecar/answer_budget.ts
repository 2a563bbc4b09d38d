/** An answer that is being received. */
export interface PendingAnswer {
  /** Bytes received so far. */
  readonly size: number;
  /** Ends the call and frees the bytes. */
  drop(): void;
}

/** Memory for the answers that are being received. */
export interface AnswerBudget {
  readonly limitBytes: number;
  usedBytes: number;
  readonly answers: Set<PendingAnswer>;
}

/** Creates an empty budget. */
export function createAnswerBudget(limitBytes: number): AnswerBudget {
  return {limitBytes, usedBytes: 0, answers: new Set()};
}

/**
 * Records bytes that an answer has received. Above the limit the largest answer
 * is dropped: it may have no end, and smaller ones must not fail for it.
 */
export function chargeAnswer(
  budget: AnswerBudget,
  answer: PendingAnswer,
  bytes: number,
): void {
  budget.answers.add(answer);
  budget.usedBytes += bytes;
  if (budget.usedBytes <= budget.limitBytes) return;
  let largest = answer;
  for (const other of budget.answers) {
    if (other.size > largest.size) largest = other;
  }
  largest.drop();
}

/** Releases the bytes of an answer that has ended. */
export function releaseAnswer(
  budget: AnswerBudget,
  answer: PendingAnswer,
): void {
  if (budget.answers.delete(answer)) budget.usedBytes -= answer.size;
}
