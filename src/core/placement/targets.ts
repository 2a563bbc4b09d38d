// What an entry remembers of each upstream, and which of them may be asked at all.
import type {LoadReport} from '../load_report.js';
import type {ListedUpstream} from '../upstream_list.js';

/** Age beyond which the load in a report is ignored, ms. */
export const REPORT_MAX_AGE_MS = 1_500;

/** Age beyond which the speed and the failures in a report are ignored, ms. They
 * change more slowly, and in a large fleet most reports are seconds old. */
export const SPEED_MAX_AGE_MS = 6_000;

/** First ejection time after a failed connection, ms. */
const EJECT_MIN_MS = 500;

/** Longest ejection time after failed connections, ms. */
const EJECT_MAX_MS = 4_000;

/** What a daemon remembers of an upstream. */
export interface TargetStats {
  report?: LoadReport;
  reportAt: number;
  /** Mean of running and queued requests in the reports so far; negative before
   * the first one. */
  usualBusy: number;
  /** Requests of this daemon without an answer yet. */
  outstanding: number;
  /** Requests sent since the last report. */
  sent: number;
  ejectMs: number;
  ejectedUntil: number;
  /** Monotonic time up to which ranks from `fullRank` on are not sent, ms. */
  fullUntil: number;
  fullRank: number;
}

/** Statistics of the upstreams that this daemon sends to, by id. */
export type BalanceState = Map<string, TargetStats>;

/** Returns the statistics of an upstream; creates them. */
export function getTargetStats(state: BalanceState, id: string): TargetStats {
  let stats = state.get(id);
  if (!stats) {
    stats = {
      reportAt: -Infinity,
      usualBusy: -1,
      outstanding: 0,
      sent: 0,
      ejectMs: 0,
      ejectedUntil: -Infinity,
      fullUntil: -Infinity,
      fullRank: Infinity,
    };
    state.set(id, stats);
  }
  return stats;
}

/** Inputs to the choice of an upstream. */
export interface ChoiceContext {
  /** Data centre of this daemon. */
  readonly dataCentre: string;
  readonly takenOut: ReadonlySet<string>;
  /** Upstreams that the request was already sent to. */
  readonly tried: ReadonlySet<string>;
  /** Priority of the request in queues; 0 is served first. */
  readonly rank: number;
  /**
   * True when request and answer are large: another data centre is then chosen
   * only after the local one has refused.
   */
  readonly heavy: boolean;
}

/** True when an attempt may go to the upstream. */
export function isEligible(
  state: BalanceState,
  {id, state: listedState, dataCentre}: ListedUpstream,
  {tried, takenOut, rank}: ChoiceContext,
  now: number,
): boolean {
  if (listedState !== 'live' || tried.has(id)) return false;
  if (takenOut.has(dataCentre)) return false;
  const {ejectedUntil, fullUntil, fullRank} = getTargetStats(state, id);
  if (now < ejectedUntil) return false;
  return now >= fullUntil || rank < fullRank;
}

/** The last report of an upstream, unless it is older than `maxAgeMs`. */
export function getReport(
  {report, reportAt}: TargetStats,
  maxAgeMs: number,
  now: number,
): LoadReport | undefined {
  return now - reportAt <= maxAgeMs ? report : undefined;
}

/** Records that a request was sent. */
export function recordTargetSend(state: BalanceState, id: string): void {
  const stats = getTargetStats(state, id);
  stats.outstanding++;
  stats.sent++;
}

/** Records the end of a request and the load report of its answer. */
export function recordTargetEnd(
  state: BalanceState,
  id: string,
  report: LoadReport | undefined,
  now: number,
): void {
  const stats = getTargetStats(state, id);
  stats.outstanding = Math.max(0, stats.outstanding - 1);
  if (!report) return;
  setReport(stats, report, now);
  stats.sent = 0;
  stats.ejectMs = 0;
  stats.ejectedUntil = -Infinity;
}

/** Smoothing factor of the usual number of requests at an upstream. */
const USUAL_GAIN = 0.2;

function setReport(stats: TargetStats, report: LoadReport, now: number): void {
  const busy = report.inFlight + report.queued;
  stats.report = report;
  stats.reportAt = now;
  if (stats.usualBusy < 0) stats.usualBusy = busy;
  else stats.usualBusy += USUAL_GAIN * (busy - stats.usualBusy);
}

/**
 * Ejects an upstream after a failed connection. Returns for how long, ms; 0
 * when it is already ejected.
 */
export function ejectTarget(
  state: BalanceState,
  id: string,
  now: number,
): number {
  const stats = getTargetStats(state, id);
  if (now < stats.ejectedUntil) return 0;
  const doubled = stats.ejectMs * 2 || EJECT_MIN_MS;
  stats.ejectMs = Math.min(EJECT_MAX_MS, doubled);
  stats.ejectedUntil = now + stats.ejectMs;
  return stats.ejectMs;
}

/** Excludes an upstream for the time that its daemon asked for, ms. */
export function excludeTarget(
  state: BalanceState,
  id: string,
  forMs: number,
  now: number,
): void {
  const stats = getTargetStats(state, id);
  stats.ejectedUntil = Math.max(stats.ejectedUntil, now + forMs);
}

/** Ends the ejection of an upstream whose daemon has answered a probe. */
export function readmitTarget(
  state: BalanceState,
  id: string,
  report: LoadReport,
  now: number,
): void {
  const stats = getTargetStats(state, id);
  setReport(stats, report, now);
  stats.ejectMs = 0;
  stats.ejectedUntil = -Infinity;
}

/** Longest time for which an upstream counts as full after a refusal, ms. */
const FULL_MAX_MS = 100;

/**
 * Marks an upstream as full for a rank: requests of this rank or of lower
 * priority are not sent to it for a short time.
 */
export function markTargetFull(
  state: BalanceState,
  id: string,
  rank: number,
  retryAfterMs: number,
  now: number,
): void {
  const stats = getTargetStats(state, id);
  const isFull = now < stats.fullUntil;
  stats.fullRank = isFull ? Math.min(stats.fullRank, rank) : rank;
  stats.fullUntil = now + Math.min(FULL_MAX_MS, retryAfterMs);
}

/** Removes upstreams that are no longer listed and have no open request. */
export function pruneTargets(
  state: BalanceState,
  listed: ReadonlyMap<string, unknown>,
): void {
  for (const [id, {outstanding}] of state) {
    if (!listed.has(id) && outstanding === 0) state.delete(id);
  }
}
