import {
  type CostEstimate,
  type CostModel,
  type ListedUpstream,
  type RequestFeatures,
  type RunLedger,
  type WorkContext,
  type WorkReport,
  chooseByWork,
  chooseTarget,
  computeWorkLeft,
  count,
  createRunLedger,
  estimateCost,
  getRelativeSpeed,
  getSpeed,
  getUsualSpeed,
  listExplained,
  listService,
  predictRateWaitMs,
  recordCost,
  recordRunTime,
  recordSpeed,
  startRun,
} from '../internal.js';
import type {SidecarBoard} from './board.js';
import type {Exchange} from './exchange.js';
import type {ForwardReply, ForwardRequest} from './forward.js';

/** What a daemon learns for the placement by work. */
export interface Placement {
  /** At the entry: what requests cost. */
  readonly costs: CostModel;
  /** At the owner: what runs, and how fast the upstream is. */
  readonly ledger: RunLedger;
}

/** Creates the state of a daemon that knows nothing yet. */
export function createPlacement(): Placement {
  return {costs: new Map(), ledger: createRunLedger()};
}

type Choose = (
  state: SidecarBoard['balance'],
  upstreams: readonly ListedUpstream[],
  context: WorkContext,
  random: () => number,
  now: number,
) => ListedUpstream | undefined;

/** Ways to compare upstreams, by setting. */
const CHOICES: Record<SidecarBoard['settings']['placement'], Choose> = {
  requests: chooseTarget,
  work: chooseByWork,
};

/** Chooses the upstream of an attempt; undefined when none is left. */
export function choosePlace(
  board: SidecarBoard,
  exchange: Exchange,
  upstreams: readonly ListedUpstream[],
  heavy: boolean,
): ListedUpstream | undefined {
  const choose = CHOICES[board.settings.placement];
  const context = createWorkContext(board, exchange, heavy);
  return choose(board.balance, upstreams, context, board.random, board.now());
}

/** What a choice for a request is made from. */
export function createWorkContext(
  board: SidecarBoard,
  exchange: Exchange,
  heavy: boolean,
): WorkContext {
  const {route, rank, goalAt, deadlineAt, tried} = exchange;
  const now = board.now();
  return {
    dataCentre: board.settings.dataCentre,
    takenOut: board.list.takenOut,
    tried,
    rank,
    heavy,
    cost: getCost(board, exchange),
    goalMs: route?.goalMs ?? 0,
    goalLeftMs: goalAt - now,
    deadlineLeftMs: Math.min(deadlineAt, board.exitAt) - now,
  };
}

/** Cost where requests are not placed by it. */
const NO_COST: CostEstimate = {workMs: 0, factor: 1, source: 'goal'};

function getCost(board: SidecarBoard, exchange: Exchange): CostEstimate {
  if (board.settings.placement !== 'work') return NO_COST;
  if (!exchange.cost) {
    const {route} = exchange;
    exchange.cost = estimateCost(
      board.placement.costs,
      route?.name ?? '',
      readFeatures(exchange),
      route?.goalMs ?? 0,
    );
    count(board, `placement_cost_by_${exchange.cost.source}`);
  }
  return exchange.cost;
}

/** Work that the owner is told to expect, ms; undefined while nothing is known. */
export function getExpectedWork({cost}: Exchange): number | undefined {
  return cost && cost.source !== 'goal' ? cost.workMs : undefined;
}

function readFeatures({req, body, organisation}: Exchange): RequestFeatures {
  return {
    method: req.method ?? 'GET',
    target: req.url ?? '/',
    bodyBytes: body?.length ?? 0,
    organisation: organisation?.name,
  };
}

/** Learns from an answer what requests of its kind cost. */
export function recordAnswerCost(
  board: SidecarBoard,
  exchange: Exchange,
  {id}: ListedUpstream,
  reply: Extract<ForwardReply, {kind: 'answer'}>,
): void {
  const runMs = reply.report?.work?.runMs;
  if (board.settings.placement !== 'work' || !runMs) return;
  if (reply.answer.status >= 500) return;
  const {balance, list, placement} = board;
  const listed = listService(list, exchange.service);
  const speed = getRelativeSpeed(balance, listed, id, board.now());
  const route = exchange.route?.name ?? '';
  recordCost(placement.costs, route, readFeatures(exchange), runMs * speed);
}

/** Follows a run at the own upstream; call the result when it has ended, with
 * the time in the slot if it was answered, ms. */
export function followRun(
  board: SidecarBoard,
  {route, costMs}: ForwardRequest,
): (answeredMs?: number) => void {
  if (board.settings.placement !== 'work') return () => {};
  const {ledger} = board.placement;
  const endRun = startRun(ledger, route, board.now());
  return answeredMs => {
    endRun();
    if (answeredMs === undefined) return;
    if (costMs !== undefined) recordSpeed(ledger.speed, answeredMs, costMs);
    recordRunTime(ledger, route, answeredMs);
  };
}

/** Work of the own upstream, for the answer of a run that took `runMs`; undefined
 * where requests are not placed by work. */
export function readWork(
  board: SidecarBoard,
  runMs?: number,
): WorkReport | undefined {
  if (board.settings.placement !== 'work') return undefined;
  const {limiter, placement} = board;
  const {ledger} = placement;
  const kinds = limiter.queue.map(({request}) => request.kind);
  const now = board.now();
  const {slots, meanMs} = limiter;
  const {leftMs, waitMs} = computeWorkLeft(ledger, kinds, slots, meanMs, now);
  const rateMs = predictRateWaitMs(limiter, kinds.length, now);
  return {
    speed: getSpeed(ledger.speed),
    usualSpeed: getUsualSpeed(ledger.speed),
    waitMs: Math.max(waitMs, rateMs),
    leftMs,
    runMs,
  };
}

/** Gauges of the placement; none where requests are not placed by work. */
export function readPlacementGauges(
  board: SidecarBoard,
): Record<string, number> {
  const work = readWork(board);
  if (!work) return {};
  const shares = listExplained(board.placement.costs).map(item => item.share);
  return {
    upstream_speed: work.speed,
    upstream_usual_speed: work.usualSpeed,
    upstream_wait_ms: Math.round(work.waitMs),
    upstream_work_left_ms: Math.round(work.leftMs),
    // Largest share of the spread of a route that a feature of requests explains.
    placement_explained_share: Math.max(0, ...shares),
  };
}
