/**
 * Share of the ratio and of the slack that resends may use. The rest is for the
 * nested calls that a resent request repeats: they count as resends for the
 * called service, but cannot be distinguished from other calls there.
 */
const RESEND_SHARE = 0.4;

/** Initial tokens of a service, as a share of the bucket capacity. */
const INITIAL_TOKEN_SHARE = 0.3;

/** Limits on resends, over all daemons together. */
export interface ResendBounds {
  /** Resends allowed per request for the service. */
  readonly ratio: number;
  /** Resends allowed beyond the ratio in one window. */
  readonly slack: number;
}

/** Token buckets of this daemon for resends, by service. */
export interface ResendBudget {
  readonly bounds: ResendBounds;
  readonly tokens: Map<string, number>;
}

/** Creates the budget of a daemon that has just started. */
export function createResendBudget(bounds: ResendBounds): ResendBudget {
  return {bounds, tokens: new Map()};
}

/**
 * Credits one request for a service. Each daemon gains a share of the ratio for
 * its own requests and keeps at most its share of the slack, so that the sum
 * over all daemons stays within the bounds without coordination.
 */
export function creditRequest(
  budget: ResendBudget,
  service: string,
  daemons: number,
): void {
  const {ratio} = budget.bounds;
  const capacity = computeCapacity(budget, daemons);
  const tokens = budget.tokens.get(service) ?? capacity * INITIAL_TOKEN_SHARE;
  budget.tokens.set(service, Math.min(capacity, tokens + ratio * RESEND_SHARE));
}

function computeCapacity({bounds}: ResendBudget, daemons: number): number {
  return Math.max(1, (bounds.slack * RESEND_SHARE) / Math.max(1, daemons));
}

/** Spends one resend of the budget; false when none is left. */
export function spendResend(budget: ResendBudget, service: string): boolean {
  const tokens = budget.tokens.get(service) ?? 0;
  if (tokens < 1) return false;
  budget.tokens.set(service, tokens - 1);
  return true;
}
