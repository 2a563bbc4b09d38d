import type {ListedUpstream} from './upstream_list.js';

/** Age at which a load report no longer counts, ms. */
const REPORT_MAX_AGE_MS = 1_500;

/** First time without requests after a failed connection, ms. */
const EJECT_MIN_MS = 500;

/** Longest time without requests after failed connections, ms. */
const EJECT_MAX_MS = 4_000;

/** Load from which an upstream of the own data centre counts as full. */
const FULL_LOAD = 1;

/** Weight of the share of failures in the score. */
const FAIL_WEIGHT = 4;

/** Weight of the running time, relative to the fastest, in the score. */
const TIME_WEIGHT = 0.4;

/** Score added for another data centre, in units of load. */
const REMOTE_SCORE = 10;

/** Load of an upstream as its daemon reports it. */
export interface LoadReport {
  readonly inFlight: number;
  readonly queued: number;
  readonly slots: number;
  readonly meanMs: number;
  /** Share of failed requests, 0 to 1. */
  readonly failShare: number;
  readonly cold: boolean;
  /** True when the daemon or its upstream is about to stop. */
  readonly leaving: boolean;
}

interface TargetStats {
  report?: LoadReport;
  reportAt: number;
  /** Requests of this daemon that wait for their answer. */
  outstanding: number;
  /** Requests sent since the report. */
  sent: number;
  ejectMs: number;
  ejectedUntil: number;
  /** Monotonic time up to which requests of `fullRank` and above are full. */
  fullUntil: number;
  fullRank: number;
}

/** What this daemon has observed of the upstreams that it sends to. */
export type BalanceState = Map<string, TargetStats>;

function getTargetStats(state: BalanceState, id: string): TargetStats {
  let observed = state.get(id);
  if (!observed) {
    observed = {
      reportAt: -Infinity,
      outstanding: 0,
      sent: 0,
      ejectMs: 0,
      ejectedUntil: -Infinity,
      fullUntil: -Infinity,
      fullRank: Infinity,
    };
    state.set(id, observed);
  }
  return observed;
}

/** What a choice depends on. */
export interface ChoiceContext {
  /** Data centre of this daemon. */
  readonly dataCentre: string;
  readonly takenOut: ReadonlySet<string>;
  /** Upstreams that have had the request. */
  readonly tried: ReadonlySet<string>;
  /** Rank of the request in queues; 0 goes first. */
  readonly rank: number;
  /**
   * True when request and answer are large: another data centre is then chosen
   * only after the own one has refused.
   */
  readonly heavy: boolean;
}

/** Chooses the upstream of the next attempt; undefined when none is left. */
export function chooseTarget(
  state: BalanceState,
  upstreams: readonly ListedUpstream[],
  context: ChoiceContext,
  random: () => number,
  now: number,
): ListedUpstream | undefined {
  let best: ListedUpstream | undefined;
  let bestScore = Infinity;
  const fastest = findFastest(state, upstreams, now);
  for (const upstream of upstreams) {
    if (upstream.state !== 'live' || context.tried.has(upstream.id)) continue;
    if (context.takenOut.has(upstream.dataCentre)) continue;
    const observed = getTargetStats(state, upstream.id);
    if (now < observed.ejectedUntil) continue;
    if (now < observed.fullUntil && context.rank >= observed.fullRank) continue;
    const score = computeScore(upstream, observed, context, fastest, now);
    const varied = score * (1 + 0.1 * random());
    if (varied < bestScore) {
      best = upstream;
      bestScore = varied;
    }
  }
  return best;
}

function getFreshReport(
  observed: TargetStats,
  now: number,
): LoadReport | undefined {
  const fresh = now - observed.reportAt <= REPORT_MAX_AGE_MS;
  return fresh ? observed.report : undefined;
}

function findFastest(
  state: BalanceState,
  upstreams: readonly ListedUpstream[],
  now: number,
): number {
  let fastest = Infinity;
  for (const {id} of upstreams) {
    const observed = state.get(id);
    const report = observed && getFreshReport(observed, now);
    if (report && report.meanMs > 0) {
      fastest = Math.min(fastest, report.meanMs);
    }
  }
  return fastest;
}

function computeScore(
  upstream: ListedUpstream,
  observed: TargetStats,
  context: ChoiceContext,
  fastest: number,
  now: number,
): number {
  const report = getFreshReport(observed, now);
  const slots = report?.slots ?? upstream.slots;
  const known = report ? report.inFlight + report.queued : 0;
  const busy = Math.max(observed.outstanding, known + observed.sent);
  const load = (busy + 1) / slots;
  let score = load;
  if (report) {
    score += FAIL_WEIGHT * report.failShare;
    if (report.meanMs > 0 && fastest < Infinity) {
      score += TIME_WEIGHT * (report.meanMs / fastest - 1);
    }
    if (report.leaving) score += 2 * REMOTE_SCORE;
  }
  if ((report?.cold ?? now < upstream.coldUntil) && load > 0.2) score += 1;
  if (load > FULL_LOAD) score += REMOTE_SCORE;
  if (upstream.dataCentre !== context.dataCentre) {
    score += context.heavy ? REMOTE_SCORE * 2 : REMOTE_SCORE / 2;
  }
  return score;
}

/** Notes that a request was sent. */
export function recordTargetSend(state: BalanceState, id: string): void {
  const observed = getTargetStats(state, id);
  observed.outstanding++;
  observed.sent++;
}

/** Notes the end of a request, with the load report of its answer. */
export function recordTargetEnd(
  state: BalanceState,
  id: string,
  report: LoadReport | undefined,
  now: number,
): void {
  const observed = getTargetStats(state, id);
  observed.outstanding = Math.max(0, observed.outstanding - 1);
  if (!report) return;
  observed.report = report;
  observed.reportAt = now;
  observed.sent = 0;
  observed.ejectMs = 0;
  observed.ejectedUntil = -Infinity;
}

/** Keeps an upstream out after a failed connection; returns the time, ms. */
export function ejectTarget(
  state: BalanceState,
  id: string,
  now: number,
): number {
  const observed = getTargetStats(state, id);
  if (now < observed.ejectedUntil) return 0;
  const doubled = observed.ejectMs * 2 || EJECT_MIN_MS;
  observed.ejectMs = Math.min(EJECT_MAX_MS, doubled);
  observed.ejectedUntil = now + observed.ejectMs;
  return observed.ejectMs;
}

/** Keeps an upstream out for a stated time, ms; its daemon asked for it. */
export function excludeTarget(
  state: BalanceState,
  id: string,
  forMs: number,
  now: number,
): void {
  const observed = getTargetStats(state, id);
  observed.ejectedUntil = Math.max(observed.ejectedUntil, now + forMs);
}

/** Takes an upstream back whose daemon has answered a probe. */
export function readmitTarget(
  state: BalanceState,
  id: string,
  report: LoadReport,
  now: number,
): void {
  const observed = getTargetStats(state, id);
  observed.report = report;
  observed.reportAt = now;
  observed.ejectMs = 0;
  observed.ejectedUntil = -Infinity;
}

/** Longest time for which a refusal for want of room holds, ms. */
const FULL_HOLD_MS = 100;

/**
 * Notes that an upstream had no room for a request of a rank: less urgent ones
 * need not be offered to it for a moment.
 */
export function markTargetFull(
  state: BalanceState,
  id: string,
  rank: number,
  retryAfterMs: number,
  now: number,
): void {
  const observed = getTargetStats(state, id);
  const held = now < observed.fullUntil;
  observed.fullRank = held ? Math.min(observed.fullRank, rank) : rank;
  observed.fullUntil = now + Math.min(FULL_HOLD_MS, retryAfterMs);
}

/** Forgets upstreams that are no longer listed and have no request. */
export function pruneTargets(
  state: BalanceState,
  listed: ReadonlyMap<string, unknown>,
): void {
  for (const [id, {outstanding}] of state) {
    if (!listed.has(id) && outstanding === 0) state.delete(id);
  }
}

/** Header form of a load report. */
export function formatReport(report: LoadReport): string {
  const flags = (report.cold ? 1 : 0) + (report.leaving ? 2 : 0);
  const {inFlight, queued, slots, meanMs, failShare} = report;
  const percent = Math.round(failShare * 100);
  return [inFlight, queued, slots, Math.round(meanMs), percent, flags].join();
}

/** Reads the header form; undefined when absent or malformed. */
export function parseReport(text: string | undefined): LoadReport | undefined {
  const match = /^(\d{1,6}),(\d{1,6}),(\d{1,6}),(\d{1,7}),(\d{1,3}),(\d)$/.exec(
    text ?? '',
  );
  if (!match) return undefined;
  const [inFlight, queued, slots, meanMs, percent, flags] = match
    .slice(1)
    .map(Number);
  return {
    inFlight,
    queued,
    slots: Math.max(1, slots),
    meanMs,
    failShare: percent / 100,
    cold: (flags & 1) !== 0,
    leaving: (flags & 2) !== 0,
  };
}
