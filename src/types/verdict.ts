/** Whether a request ran at an upstream. */
export type Verdict = 'notRun' | 'mayHaveRun' | 'ran';

/** Value of the `berylbend-verdict` header for each verdict. */
export const VERDICT_HEADER_VALUES: Record<Verdict, string> = {
  notRun: 'not-run',
  mayHaveRun: 'may-have-run',
  ran: 'ran',
};

/** Parses a header value; absent or unknown ones become `mayHaveRun`. */
export function parseVerdict(value: string | undefined): Verdict {
  if (value === 'not-run') return 'notRun';
  if (value === 'ran') return 'ran';
  return 'mayHaveRun';
}

/** When to retry; `idempotentOnce` retries an idempotent request only once. */
export type RetryRule = 'always' | 'idempotent' | 'idempotentOnce' | 'never';

/** How an outcome is reported to customers and when it is retried. */
export interface OutcomeRule {
  readonly verdict: Verdict;
  readonly status: number;
  readonly retry: RetryRule;
  /** Value of the `Retry-After` header, s; 0 for none. */
  readonly retryAfterS: number;
}

/**
 * The outcome table. The key is sent as `berylbend-reason` in kebab case.
 * Verdict `notRun` requires that no byte of the request reached the upstream,
 * or that the owner confirms that it did not run.
 */
export const OUTCOMES = {
  answered: {verdict: 'ran', status: 200, retry: 'never', retryAfterS: 0},
  connectFailed: {
    verdict: 'notRun',
    status: 503,
    retry: 'always',
    retryAfterS: 1,
  },
  full: {verdict: 'notRun', status: 503, retry: 'always', retryAfterS: 1},
  cold: {verdict: 'notRun', status: 503, retry: 'always', retryAfterS: 1},
  shed: {verdict: 'notRun', status: 503, retry: 'always', retryAfterS: 1},
  leaving: {verdict: 'notRun', status: 503, retry: 'always', retryAfterS: 1},
  dataCentreOut: {
    verdict: 'notRun',
    status: 503,
    retry: 'always',
    retryAfterS: 1,
  },
  staleView: {verdict: 'notRun', status: 503, retry: 'always', retryAfterS: 1},
  wrongOwner: {verdict: 'notRun', status: 503, retry: 'always', retryAfterS: 1},
  upstreamDown: {
    verdict: 'notRun',
    status: 503,
    retry: 'always',
    retryAfterS: 1,
  },
  deadlineTooShort: {
    verdict: 'notRun',
    status: 503,
    retry: 'always',
    retryAfterS: 1,
  },
  keyTableFull: {
    verdict: 'notRun',
    status: 503,
    retry: 'always',
    retryAfterS: 5,
  },
  badRequest: {verdict: 'notRun', status: 400, retry: 'never', retryAfterS: 0},
  badKey: {verdict: 'notRun', status: 400, retry: 'never', retryAfterS: 0},
  overQuota: {verdict: 'notRun', status: 429, retry: 'never', retryAfterS: 1},
  tooLarge: {verdict: 'notRun', status: 413, retry: 'never', retryAfterS: 0},
  tooDeep: {verdict: 'notRun', status: 508, retry: 'never', retryAfterS: 0},
  unknownRoute: {
    verdict: 'notRun',
    status: 404,
    retry: 'never',
    retryAfterS: 0,
  },
  unauthorised: {
    verdict: 'notRun',
    status: 401,
    retry: 'never',
    retryAfterS: 0,
  },
  noConfig: {verdict: 'notRun', status: 503, retry: 'never', retryAfterS: 1},
  noUpstream: {verdict: 'notRun', status: 503, retry: 'never', retryAfterS: 1},
  keyNotBound: {verdict: 'notRun', status: 409, retry: 'never', retryAfterS: 0},
  suspectHeld: {
    verdict: 'notRun',
    status: 503,
    retry: 'never',
    retryAfterS: 60,
  },
  deadlineBeforeSend: {
    verdict: 'notRun',
    status: 504,
    retry: 'never',
    retryAfterS: 0,
  },
  connectionBroken: {
    verdict: 'mayHaveRun',
    status: 502,
    retry: 'idempotent',
    retryAfterS: 0,
  },
  crossedAnswer: {
    verdict: 'mayHaveRun',
    status: 502,
    retry: 'idempotent',
    retryAfterS: 0,
  },
  upstreamCrashed: {
    verdict: 'mayHaveRun',
    status: 502,
    retry: 'idempotentOnce',
    retryAfterS: 0,
  },
  deadlineAfterSend: {
    verdict: 'mayHaveRun',
    status: 504,
    retry: 'never',
    retryAfterS: 0,
  },
  keyOwnerGone: {
    verdict: 'mayHaveRun',
    status: 409,
    retry: 'never',
    retryAfterS: 0,
  },
  keyExpired: {
    verdict: 'mayHaveRun',
    status: 409,
    retry: 'never',
    retryAfterS: 0,
  },
  keyMayHaveRun: {
    verdict: 'mayHaveRun',
    status: 409,
    retry: 'never',
    retryAfterS: 0,
  },
} as const satisfies Record<string, OutcomeRule>;

/** Key of the outcome table. */
export type Outcome = keyof typeof OUTCOMES;

/** Returns the `berylbend-reason` value of an outcome, in kebab case. */
export function formatReason(outcome: Outcome): string {
  return outcome.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
}

const OUTCOME_BY_REASON = new Map<string, Outcome>(
  (Object.keys(OUTCOMES) as Outcome[]).map(name => [formatReason(name), name]),
);

/** Parses a `berylbend-reason` value; undefined for an unknown reason. */
export function parseReason(reason: string): Outcome | undefined {
  return OUTCOME_BY_REASON.get(reason);
}
