/**
 * Part of the ratio and of the slack that is used for resends. The calls of a
 * repeated run count as repeats at the service that it calls, and nobody sees
 * there which calls those are; the rest is left for them.
 */
const RESEND_SHARE = 0.4;

/** Part of the full reserve that a daemon has when it starts. */
const INITIAL_RESERVE_SHARE = 0.3;

/** Bounds on resends, for all daemons together. */
export interface ResendBounds {
  /** Resends allowed per request for the service. */
  readonly ratio: number;
  /** Resends allowed beyond the ratio in one window. */
  readonly slack: number;
}

/** Resends that this daemon may still make, by service. */
export interface ResendBudget {
  readonly bounds: ResendBounds;
  readonly tokens: Map<string, number>;
}

/** Creates the budget of a daemon that has just started. */
export function createResendBudget(bounds: ResendBounds): ResendBudget {
  return {bounds, tokens: new Map()};
}

/**
 * Credits one request for a service. Each daemon earns a share of the ratio for
 * its own requests and keeps at most its part of the slack, so that the sum
 * over all daemons stays within the bounds without any message between them.
 */
export function creditRequest(
  budget: ResendBudget,
  service: string,
  daemons: number,
): void {
  const {ratio} = budget.bounds;
  const reserve = computeReserve(budget, daemons);
  const tokens = budget.tokens.get(service) ?? reserve * INITIAL_RESERVE_SHARE;
  budget.tokens.set(service, Math.min(reserve, tokens + ratio * RESEND_SHARE));
}

function computeReserve({bounds}: ResendBudget, daemons: number): number {
  return Math.max(1, (bounds.slack * RESEND_SHARE) / Math.max(1, daemons));
}

/** Takes one resend from the budget; false when there is none left. */
export function spendResend(budget: ResendBudget, service: string): boolean {
  const tokens = budget.tokens.get(service) ?? 0;
  if (tokens < 1) return false;
  budget.tokens.set(service, tokens - 1);
  return true;
}
