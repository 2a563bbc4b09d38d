// Which upstream gets a request: the one at which it is expected to end earliest
// and most probably within its goal.
import type {ListedUpstream} from '../upstream_list.js';
import {
  type Expectation,
  type WorkContext,
  type WorkView,
  createWorkView,
  expectAt,
  getSpeedAt,
} from './expectation.js';
import {
  type BalanceState,
  type ChoiceContext,
  REPORT_MAX_AGE_MS,
  getReport,
  getTargetStats,
  isEligible,
} from './targets.js';

/** Upstreams without a fresh report that one choice considers in this data
 * centre: with two the slow ones keep much of the work, with all of them every
 * entry asks the one that looked best some time ago. */
const NEAR_SAMPLE = 3;

/** The same in the other data centres. */
const FAR_SAMPLE = 2;

/** Chooses the upstream of the next attempt; undefined when none is left. */
export function chooseByWork(
  state: BalanceState,
  upstreams: readonly ListedUpstream[],
  context: WorkContext,
  random: () => number,
  now: number,
): ListedUpstream | undefined {
  const view = createWorkView(state, upstreams, now);
  let best: ListedUpstream | undefined;
  let bestScore = Infinity;
  const eligible = upstreams.filter(upstream =>
    isEligible(state, upstream, context, now),
  );
  for (const upstream of drawCandidates(view, eligible, context, random)) {
    const {score} = expectAt(view, upstream, context);
    // Entries that know the same do not all ask the same upstream.
    const jittered = score * (1 + 0.1 * random());
    if (jittered < bestScore) {
      best = upstream;
      bestScore = jittered;
    }
  }
  return best;
}

/** What a daemon expects at each upstream that it may ask, best first. */
export function expectAll(
  state: BalanceState,
  upstreams: readonly ListedUpstream[],
  context: WorkContext,
  now: number,
): Expectation[] {
  const view = createWorkView(state, upstreams, now);
  return upstreams
    .filter(upstream => isEligible(state, upstream, context, now))
    .map(upstream => expectAt(view, upstream, context))
    .sort((a, b) => a.score - b.score);
}

/**
 * All upstreams whose load is known, and a few others drawn at random, faster ones
 * more often. All entries of a large fleet remember the same upstreams as fast; if
 * each asked the best one, it would be full.
 */
function drawCandidates(
  view: WorkView,
  eligible: readonly ListedUpstream[],
  {dataCentre}: ChoiceContext,
  random: () => number,
): ListedUpstream[] {
  const kept: ListedUpstream[] = [];
  const near: ListedUpstream[] = [];
  const far: ListedUpstream[] = [];
  for (const upstream of eligible) {
    const stats = getTargetStats(view.state, upstream.id);
    if (getReport(stats, REPORT_MAX_AGE_MS, view.now)) kept.push(upstream);
    else if (upstream.dataCentre === dataCentre) near.push(upstream);
    else far.push(upstream);
  }
  drawSome(view, near, NEAR_SAMPLE, random, kept);
  drawSome(view, far, FAR_SAMPLE, random, kept);
  return kept;
}

function drawSome(
  view: WorkView,
  upstreams: ListedUpstream[],
  most: number,
  random: () => number,
  drawn: ListedUpstream[],
): void {
  if (upstreams.length <= most) {
    drawn.push(...upstreams);
    return;
  }
  const weights = upstreams.map(({id, slots}) => slots * getSpeedAt(view, id));
  let total = weights.reduce((sum, weight) => sum + weight, 0);
  for (let n = 0; n < most; n++) {
    let left = random() * total;
    let i = 0;
    while (i < weights.length - 1 && (left -= weights[i]) > 0) i++;
    // Drawn ones keep their place with a weight of 0.
    if (weights[i] === 0) continue;
    total -= weights[i];
    weights[i] = 0;
    drawn.push(upstreams[i]);
  }
}
