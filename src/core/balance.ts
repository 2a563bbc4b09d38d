import {
  type BalanceState,
  type ChoiceContext,
  type TargetStats,
  REPORT_MAX_AGE_MS,
  SPEED_MAX_AGE_MS,
  getReport,
  getTargetStats,
  isEligible,
} from './placement/targets.js';
import type {ListedUpstream} from './upstream_list.js';

/** Upstreams without a fresh report that one choice considers in this and in
 * the other data centres each. */
const STALE_SAMPLE = 2;

/** Load above which an upstream counts as full, requests per slot. */
const FULL_LOAD = 1;

/** The same for an upstream whose load is only estimated: a few reports of others
 * scatter too much to leave the data centre for a short queue. */
const ESTIMATED_FULL_LOAD = 1.5;

/** Weight of the share of failures in the score. */
const FAIL_WEIGHT = 4;

/** Weight of the mean time, relative to the fastest upstream, in the score. */
const TIME_WEIGHT = 0.4;

/**
 * Base of the score penalties for other data centres and for full and leaving
 * upstreams, in units of load.
 */
const REMOTE_SCORE = 10;

/** Chooses the upstream of the next attempt; undefined when none is left. */
export function chooseTarget(
  state: BalanceState,
  upstreams: readonly ListedUpstream[],
  context: ChoiceContext,
  random: () => number,
  now: number,
): ListedUpstream | undefined {
  const eligible = upstreams.filter(upstream =>
    isEligible(state, upstream, context, now),
  );
  const view = createView(state, eligible, now);
  let best: ListedUpstream | undefined;
  let bestScore = Infinity;
  for (const upstream of sampleStale(state, eligible, context, random, now)) {
    const stats = getTargetStats(state, upstream.id);
    const score = computeScore(upstream, stats, context, view, now);
    const jitteredScore = score * (1 + 0.1 * random());
    if (jitteredScore < bestScore) {
      best = upstream;
      bestScore = jitteredScore;
    }
  }
  return best;
}

/**
 * Keeps all upstreams with a fresh load report, and a few others of this and of
 * the other data centres. All daemons of a large fleet remember the same
 * upstreams as fast; if each of them asked the best one, it would be full.
 */
function sampleStale(
  state: BalanceState,
  eligible: readonly ListedUpstream[],
  {dataCentre}: ChoiceContext,
  random: () => number,
  now: number,
): ListedUpstream[] {
  const kept: ListedUpstream[] = [];
  const near: ListedUpstream[] = [];
  const far: ListedUpstream[] = [];
  for (const upstream of eligible) {
    const stats = getTargetStats(state, upstream.id);
    if (getReport(stats, REPORT_MAX_AGE_MS, now)) kept.push(upstream);
    else if (upstream.dataCentre === dataCentre) near.push(upstream);
    else far.push(upstream);
  }
  return [...kept, ...pickSome(near, random), ...pickSome(far, random)];
}

function pickSome(
  upstreams: ListedUpstream[],
  random: () => number,
): ListedUpstream[] {
  if (upstreams.length <= STALE_SAMPLE) return upstreams;
  const rest = [...upstreams];
  return Array.from({length: STALE_SAMPLE}, () => {
    const index = Math.floor(random() * rest.length);
    return rest.splice(index, 1)[0];
  });
}

/** What a daemon knows of a service as a whole. */
interface ServiceView {
  /** Mean time of the fastest upstream, ms; Infinity if none is known. */
  readonly fastestMs: number;
  /** Mean load by data centre, requests per slot, from fresh reports. */
  readonly loads: ReadonlyMap<string, number>;
}

function createView(
  state: BalanceState,
  upstreams: readonly ListedUpstream[],
  now: number,
): ServiceView {
  let fastestMs = Infinity;
  const sums = new Map<string, {load: number; reports: number}>();
  for (const {id, dataCentre} of upstreams) {
    const stats = getTargetStats(state, id);
    const known = getReport(stats, SPEED_MAX_AGE_MS, now);
    if (!known) continue;
    if (known.meanMs > 0) fastestMs = Math.min(fastestMs, known.meanMs);
    if (!getReport(stats, REPORT_MAX_AGE_MS, now)) continue;
    const sum = sums.get(dataCentre) ?? {load: 0, reports: 0};
    sum.load += (known.inFlight + known.queued) / known.slots;
    sum.reports++;
    sums.set(dataCentre, sum);
  }
  const loads = new Map(
    [...sums].map(([name, {load, reports}]) => [name, load / reports]),
  );
  return {fastestMs, loads};
}

function computeScore(
  upstream: ListedUpstream,
  stats: TargetStats,
  context: ChoiceContext,
  {fastestMs, loads}: ServiceView,
  now: number,
): number {
  const report = getReport(stats, REPORT_MAX_AGE_MS, now);
  const known = getReport(stats, SPEED_MAX_AGE_MS, now);
  const slots = known?.slots ?? upstream.slots;
  const {outstanding, sent} = stats;
  // Without a fresh report an upstream counts as busy as the others beside it.
  const busy = report
    ? Math.max(outstanding, report.inFlight + report.queued + sent)
    : outstanding + (loads.get(upstream.dataCentre) ?? 0) * slots;
  const load = (busy + 1) / slots;
  let score = load;
  if (known) {
    score += FAIL_WEIGHT * known.failShare;
    if (known.meanMs > 0 && fastestMs < Infinity) {
      score += TIME_WEIGHT * (known.meanMs / fastestMs - 1);
    }
  }
  if (report?.leaving) score += 2 * REMOTE_SCORE;
  if ((report?.cold ?? now < upstream.coldUntil) && load > 0.2) score += 1;
  const isFull = report
    ? load > FULL_LOAD
    : load > ESTIMATED_FULL_LOAD || outstanding >= slots * FULL_LOAD;
  if (isFull) score += REMOTE_SCORE;
  if (upstream.dataCentre !== context.dataCentre) {
    score += context.heavy ? REMOTE_SCORE * 2 : REMOTE_SCORE / 2;
  }
  return score;
}

/** Expected time to the reply for a request that is sent now, ms; 0 when the
 * load of the upstream is unknown. */
export function predictReplyMs(
  state: BalanceState,
  id: string,
  now: number,
): number {
  const stats = state.get(id);
  const report = stats && getReport(stats, REPORT_MAX_AGE_MS, now);
  if (!report) return 0;
  const {inFlight, queued, slots, meanMs} = report;
  const waiting = Math.max(0, inFlight + queued + 1 - slots);
  return meanMs * (1 + waiting / slots);
}
