import {OUTCOMES, type Outcome} from '../types/verdict.js';

/** Retries shared by a customer request and all its nested calls. */
export const RETRY_BUDGET = 2;

/** Maximum number of hops in a chain of nested calls. */
export const MAX_DEPTH = 6;

/** Minimum remaining time for a retry, ms. */
export const MIN_RETRY_MS = 5;

/** State of a request after a failed attempt. */
export interface RetryContext {
  readonly outcome: Outcome;
  /** True when the route allows a request to run more than once. */
  readonly idempotent: boolean;
  /** Retries left for the whole chain of calls. */
  readonly budget: number;
  /** Attempts made so far, including the failed one. */
  readonly attempts: number;
  readonly remainingMs: number;
  /** Attempts that ended with a crashed upstream, including this one. */
  readonly crashes?: number;
  /** True when the request had crashed an upstream before this attempt. */
  readonly suspect?: boolean;
}

/** Decides whether to retry a request, by the outcome table. */
export function shouldRetry(context: RetryContext): boolean {
  const {outcome, idempotent, budget, attempts, remainingMs} = context;
  if (budget <= 0 || attempts > RETRY_BUDGET) return false;
  if (remainingMs < MIN_RETRY_MS) return false;
  const rule = OUTCOMES[outcome];
  // Any failure other than a refusal before the run might be another crash.
  if (context.suspect && rule.verdict !== 'notRun') return false;
  switch (rule.retry) {
    case 'always':
      return true;
    case 'idempotent':
      return idempotent;
    case 'idempotentOnce':
      return idempotent && (context.crashes ?? 1) <= 1;
    case 'never':
      return false;
  }
}

/**
 * Parses the `berylbend-budget` header: the full budget when absent, undefined
 * when malformed. The value is capped, so that a caller cannot raise it.
 */
export function parseBudget(text: string | undefined): number | undefined {
  if (text === undefined) return RETRY_BUDGET;
  if (!/^\d{1,3}$/.test(text)) return undefined;
  return Math.min(RETRY_BUDGET, Number(text));
}

/**
 * Parses the `berylbend-depth` header, the number of this hop: 1 when absent,
 * undefined when malformed. The owner sends its upstream the next number.
 */
export function parseDepth(text: string | undefined): number | undefined {
  if (text === undefined) return 1;
  return /^\d{1,3}$/.test(text) ? Math.max(1, Number(text)) : undefined;
}

/** Largest margin between the deadlines of the owner and the entry, ms. */
export const MAX_OWNER_MARGIN_MS = 50;

/** Margin as a share of the remaining time, for short deadlines. */
const OWNER_MARGIN_SHARE = 0.1;

/**
 * Deadline passed to the owner and its upstream, ms. It ends before the entry's
 * own, so that the owner can report in time that a queued request was not run,
 * and the upstream can answer in time. With one deadline for both, most requests
 * that expired in the queue were reported as possibly run.
 */
export function computeOwnerDeadline(remainingMs: number): number {
  const marginMs = Math.min(
    MAX_OWNER_MARGIN_MS,
    remainingMs * OWNER_MARGIN_SHARE,
  );
  return Math.max(1, Math.floor(remainingMs - marginMs));
}

/**
 * Computes the timeout of a request, ms: the lower of the route's timeout and
 * the caller's remaining time; undefined when the header is malformed.
 */
export function computeTimeout(
  routeTimeoutMs: number,
  text: string | undefined,
): number | undefined {
  if (text === undefined) return routeTimeoutMs;
  if (!/^\d{1,9}$/.test(text)) return undefined;
  return Math.min(routeTimeoutMs, Number(text));
}

/**
 * Returns the outcome to report after a failed attempt. Once an attempt may
 * have run, a later refusal must not report the request as not run.
 */
export function combineOutcomes(
  earlier: Outcome | undefined,
  latest: Outcome,
): Outcome {
  if (earlier === undefined) return latest;
  const mayHaveRun = OUTCOMES[earlier].verdict !== 'notRun';
  return mayHaveRun && OUTCOMES[latest].verdict === 'notRun' ? earlier : latest;
}

/**
 * Returns the outcome to report for a bound key without a reply from its owner.
 * An earlier attempt with the same key may have run, so the entry must not
 * report it as not run.
 */
export function resolveBoundKeyOutcome(outcome: Outcome): Outcome {
  if (OUTCOMES[outcome].verdict !== 'notRun') return outcome;
  switch (outcome) {
    case 'deadlineBeforeSend':
      return 'deadlineAfterSend';
    case 'connectFailed':
    case 'noUpstream':
      return 'keyOwnerGone';
    default:
      return 'keyMayHaveRun';
  }
}
