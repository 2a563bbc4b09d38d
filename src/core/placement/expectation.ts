// When a request is expected to end at an upstream, and what that costs its caller.
import type {LoadReport} from '../load_report.js';
import type {ListedUpstream} from '../upstream_list.js';
import type {CostEstimate} from './cost.js';
import {getShareAbove} from './distribution.js';
import {
  type BalanceState,
  type ChoiceContext,
  type TargetStats,
  REPORT_MAX_AGE_MS,
  getReport,
  getTargetStats,
} from './targets.js';

/** Time in which the speed of a report gives way to the usual one, ms: a slow-down
 * ends unseen while few ask. */
const SPEED_FADE_MS = 3_000;

/** Time in which the usual speed gives way to the mean of the service, ms. */
const USUAL_SPEED_FADE_MS = 30_000;

/** Time in which the usual load of an upstream loses most of its weight, ms. */
const USUAL_FADE_MS = 6_000;

/** Shortest mean time in a slot over which a load report fades, ms. */
const MIN_FADE_MS = 20;

/** What a late answer costs the caller, in goals. */
const LATE_COST = 1;

/** What a failure costs the caller, in goals: more than an answer that is late at
 * any upstream, since a failing upstream answers quickly. */
const FAIL_COST = 4;

/** Weight of a wait against a run of the same length. A request in a queue also
 * delays those that come behind it; if each caller counted its own time alone, the
 * fast upstreams would have queues while slots of slower ones are free. */
const WAIT_WEIGHT = 12;

/** What an answer from another data centre has to save, in goals: with the weight of
 * waits, a wait here that is an eighth of the goal longer. Estimates of waits scatter;
 * at 1 a fifth of the requests of 300 daemons leave, with as many in their goal. */
const CROSS_COST = 1.5;

/** Load above which a cold upstream is asked only if others are busy, requests a
 * slot, and what is then added, in goals. */
const COLD = {load: 0.2, cost: 1};

/** What is added for upstreams about to stop, and for other data centres when
 * request and answer are large, in goals. */
const LAST_RESORT_COST = 1_000;

/** Smallest variance of the number of requests at an upstream. */
const MIN_VARIANCE = 0.25;

/** Bounds of the change of a data centre's load against its usual one. */
const TREND = {least: 0.5, most: 3};

/** A request to be placed. */
export interface WorkContext extends ChoiceContext {
  readonly cost: CostEstimate;
  /** Time until the goal of the request, and until its deadline, ms. */
  readonly goalLeftMs: number;
  readonly deadlineLeftMs: number;
  /** Goal of the route, ms. */
  readonly goalMs: number;
}

/** What a daemon expects of a request at one upstream. */
export interface Expectation {
  readonly upstream: ListedUpstream;
  /** Relative to the mean of the service. */
  readonly speed: number;
  /** Running and queued requests. */
  readonly busy: number;
  readonly waitMs: number;
  readonly runMs: number;
  /** Probability that the answer comes after the goal, and the deadline. */
  readonly lateShare: number;
  readonly missShare: number;
  /** Age of the last report, ms; Infinity without one. */
  readonly ageMs: number;
  /** Costs to the caller, ms; the least is chosen. */
  readonly score: number;
}

/** Speed of an upstream relative to the mean of its service: that mean is 1 for
 * every entry, so no state is shared to fix the scale. */
export function getRelativeSpeed(
  state: BalanceState,
  upstreams: readonly ListedUpstream[],
  id: string,
  now: number,
): number {
  return getSpeedAt(createWorkView(state, upstreams, now), id);
}

/** What a daemon knows of a service as a whole. */
export interface WorkView {
  readonly state: BalanceState;
  readonly now: number;
  /** Means of the reported speeds; 1 when none is known. */
  readonly meanSpeed: number;
  readonly meanUsual: number;
  /** Mean time in a slot of the reports, ms. */
  readonly meanMs: number;
  readonly byDataCentre: ReadonlyMap<string, CentreView>;
}

interface CentreView {
  /** Mean load of the upstreams with a fresh report, requests a slot. */
  readonly load: number;
  /** The same relative to what is usual at these upstreams. */
  readonly trend: number;
}

/** Reads what the reports say of a service. */
export function createWorkView(
  state: BalanceState,
  upstreams: readonly ListedUpstream[],
  now: number,
): WorkView {
  let speeds = 0;
  let usualSpeeds = 0;
  let speedWeight = 0;
  let times = 0;
  let reports = 0;
  const sums = new Map<
    string,
    {load: number; reports: number; busy: number; usual: number}
  >();
  for (const {id, dataCentre} of upstreams) {
    const stats = state.get(id);
    if (!stats?.report) continue;
    const {report, reportAt, usualBusy} = stats;
    if (report.work) {
      // A speed that nobody has measured for long says little about the mean.
      const weight = Math.exp((reportAt - now) / USUAL_SPEED_FADE_MS);
      speeds += weight * report.work.speed;
      usualSpeeds += weight * report.work.usualSpeed;
      speedWeight += weight;
    }
    times += report.meanMs;
    reports++;
    if (now - reportAt > REPORT_MAX_AGE_MS) continue;
    const busy = report.inFlight + report.queued;
    const sum = sums.get(dataCentre) ?? {
      load: 0,
      reports: 0,
      busy: 0,
      usual: 0,
    };
    sum.load += busy / report.slots;
    sum.reports++;
    sum.busy += busy;
    sum.usual += usualBusy;
    sums.set(dataCentre, sum);
  }
  const byDataCentre = new Map(
    [...sums].map(([name, sum]): [string, CentreView] => {
      const trend = (sum.busy + 1) / (sum.usual + 1);
      return [
        name,
        {
          load: sum.load / sum.reports,
          trend: Math.max(TREND.least, Math.min(TREND.most, trend)),
        },
      ];
    }),
  );
  return {
    state,
    now,
    meanSpeed: speedWeight > 0 ? speeds / speedWeight : 1,
    meanUsual: speedWeight > 0 ? usualSpeeds / speedWeight : 1,
    meanMs: reports > 0 ? times / reports : 0,
    byDataCentre,
  };
}

/** Speed of an upstream relative to the mean of its service. */
export function getSpeedAt(
  {state, now, meanSpeed, meanUsual}: WorkView,
  id: string,
): number {
  const stats = state.get(id);
  const work = stats?.report?.work;
  if (!stats || !work) return 1;
  const usualShare = fade(stats, USUAL_SPEED_FADE_MS, now);
  const usual = 1 + usualShare * (work.usualSpeed / meanUsual - 1);
  const share = fade(stats, SPEED_FADE_MS, now);
  return usual + share * (work.speed / meanSpeed - usual);
}

/** What a daemon expects of a request that it sends to an upstream now. */
export function expectAt(
  view: WorkView,
  upstream: ListedUpstream,
  context: WorkContext,
): Expectation {
  const {state, now} = view;
  const stats = getTargetStats(state, upstream.id);
  const {cost, goalMs, goalLeftMs, deadlineLeftMs} = context;
  const speed = getSpeedAt(view, upstream.id);
  const slots = stats.report?.slots ?? upstream.slots;
  const ageMs = now - stats.reportAt;
  const slotMs = stats.report?.meanMs || view.meanMs || cost.workMs;
  const busy = expectBusy(view, upstream, stats, slots);
  const waitMs = expectWait(stats, busy, slots, slotMs, ageMs);
  const runMs = cost.workMs / speed;
  const lateShare = getLateShare(cost, (goalLeftMs - waitMs) * speed);
  const missShare = getLateShare(cost, (deadlineLeftMs - waitMs) * speed);
  let goals = LATE_COST * (lateShare + missShare);
  const report = getReport(stats, REPORT_MAX_AGE_MS, now);
  goals += FAIL_COST * fade(stats, USUAL_FADE_MS, now) * getFailShare(stats);
  const isCold = report?.cold ?? now < upstream.coldUntil;
  if (isCold && (busy + 1) / slots > COLD.load) goals += COLD.cost;
  if (report?.leaving) goals += LAST_RESORT_COST;
  if (upstream.dataCentre !== context.dataCentre) {
    goals += context.heavy ? LAST_RESORT_COST : CROSS_COST;
  }
  const score = WAIT_WEIGHT * waitMs + runMs + goals * goalMs;
  return {
    upstream,
    speed,
    busy,
    waitMs,
    runMs,
    lateShare,
    missShare,
    ageMs,
    score,
  };
}

function getFailShare({report}: TargetStats): number {
  return report?.failShare ?? 0;
}

/** Weight of what was known at the last report, 0 to 1. */
function fade({reportAt}: TargetStats, overMs: number, now: number): number {
  return Math.exp((reportAt - now) / overMs);
}

/**
 * Running and queued requests at an upstream. The report counts while what ran then
 * may still run; after that the upstream is as busy as it usually is, and without
 * a report as busy as those beside it.
 */
function expectBusy(
  {now, byDataCentre}: WorkView,
  {dataCentre}: ListedUpstream,
  stats: TargetStats,
  slots: number,
): number {
  const {report, outstanding, sent, usualBusy} = stats;
  const centre = byDataCentre.get(dataCentre);
  const mean = (centre?.load ?? 0) * slots;
  if (!report) return outstanding + mean;
  const known = fade(stats, USUAL_FADE_MS, now);
  const usual = known * usualBusy * (centre?.trend ?? 1) + (1 - known) * mean;
  const fresh = fade(stats, getFadeMs(report), now);
  const reported = report.inFlight + report.queued;
  const own = Math.min(sent, outstanding);
  return Math.max(outstanding, fresh * reported + (1 - fresh) * usual + own);
}

function getFadeMs({meanMs}: LoadReport): number {
  return Math.max(MIN_FADE_MS, meanMs);
}

/** Expected time until a request that is sent now starts, ms. */
function expectWait(
  {report, sent, outstanding}: TargetStats,
  busy: number,
  slots: number,
  slotMs: number,
  ageMs: number,
): number {
  const fresh = report ? Math.exp(-ageMs / getFadeMs(report)) : 0;
  const variance = MIN_VARIANCE + (1 - fresh) * busy;
  const countedMs =
    (expectPositive(busy + 1 - slots, Math.sqrt(variance)) * slotMs) / slots;
  const workWaitMs = report?.work?.waitMs ?? 0;
  if (!report || workWaitMs === 0) return countedMs;
  // The owner knows how long its runs have lasted and what its rates allow.
  const own = Math.min(sent, outstanding);
  const fadeMs = Math.max(workWaitMs, getFadeMs(report));
  const reportedMs =
    workWaitMs * Math.exp(-ageMs / fadeMs) + (own * slotMs) / slots;
  return Math.max(countedMs, reportedMs);
}

/** Expected positive part of a normal distribution. */
function expectPositive(mean: number, deviation: number): number {
  const z = mean / deviation;
  if (z < -4) return 0;
  if (z > 4) return mean;
  const density = Math.exp((-z * z) / 2) / Math.sqrt(2 * Math.PI);
  // Logistic approximation of the cumulative normal distribution, within 0.01.
  const below = 1 / (1 + Math.exp(-1.702 * z));
  return Math.max(0, mean * below + deviation * density);
}

/** Share of requests that need more than this work, ms at speed 1. */
function getLateShare(
  {work, factor, workMs}: CostEstimate,
  allowedMs: number,
): number {
  if (allowedMs <= 0) return 1;
  if (work) return getShareAbove(work, allowedMs / factor);
  return Math.exp(-allowedMs / workMs);
}
