import {
  type BalanceState,
  type ConcurrencyLimiter,
  type ListedUpstream,
  type LoadReport,
  type CostModel,
  type RunLedger,
  type RequestFeatures,
  type WorkContext,
  type WorkReport,
  admit,
  chooseByWork,
  chooseTarget,
  computeWorkLeft,
  countUsableSlots,
  countWaiting,
  createLimiter,
  createRandom,
  createRunLedger,
  estimateCost,
  getRelativeSpeed,
  getSpeed,
  getUsualSpeed,
  markTargetFull,
  recordCost,
  recordRunTime,
  recordSpeed,
  recordTargetEnd,
  recordTargetSend,
  release,
  startRun,
} from '../../src/internal.js';
import type {BalanceResult, BalanceScenario} from './balance_scenario.js';
import {makeUpstream} from './mesh_fixtures.js';

/** Time between a daemon and an owner, ms. */
const HOP_MS = 2;

/** Refusals for lack of slots after which an entry gives up. */
const MAX_REFUSALS = 2;

/** Time after which a kind without requests is looked at again, ms. */
const IDLE_MS = 10;

/** All requests of a kind look alike. */
const FEATURES: RequestFeatures = {method: 'GET', target: '/', bodyBytes: 0};

interface ModelDaemon {
  readonly state: BalanceState;
  readonly costs: CostModel;
  readonly dataCentre: string;
}

interface ModelRequest {
  readonly kind: string;
  readonly workMs: number;
  readonly startedAt: number;
  readonly tried: Set<string>;
}

interface ModelUpstream {
  readonly index: number;
  readonly listed: ListedUpstream;
  readonly limiter: ConcurrencyLimiter;
  readonly ledger: RunLedger;
  readonly slowness: number;
  runs: number;
}

/**
 * Plays requests of many daemons to the upstreams of a service in simulated
 * time, with the daemons' own choice and the owners' own limiter. It needs no
 * network and no waiting; equal scenarios give equal results.
 */
export function playBalance(scenario: BalanceScenario): BalanceResult {
  const {slots, workMs, slowness, goalMs, timeoutMs, durationMs} = scenario;
  const random = createRandom(scenario.seed);
  const events: Array<{at: number; run: () => void}> = [];
  let now = 0;
  const schedule = (delayMs: number, run: () => void): void => {
    const at = now + delayMs;
    let low = 0;
    let high = events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (events[middle].at > at) low = middle + 1;
      else high = middle;
    }
    // The latest event comes first, so that the next one is popped.
    events.splice(low, 0, {at, run});
  };
  const upstreams = slowness.map((factor, i): ModelUpstream => {
    const listed = makeUpstream({
      id: `u${i}`,
      port: 1 + i,
      slots,
      dataCentre: `dc${i % scenario.dataCentres}`,
    });
    const limiter = createLimiter(0);
    Object.assign(limiter, {coldUntil: -Infinity, slots});
    return {
      index: i,
      listed: {...listed, coldUntil: 0},
      limiter,
      ledger: createRunLedger(),
      slowness: factor,
      runs: 0,
    };
  });
  const listed = upstreams.map(upstream => upstream.listed);
  const byId = new Map(upstreams.map(item => [item.listed.id, item]));
  const daemons = Array.from(
    {length: scenario.daemons},
    (_, i): ModelDaemon => ({
      state: new Map(),
      costs: new Map(),
      dataCentre: `dc${i % scenario.dataCentres}`,
    }),
  );
  const counts = {inGoal: 0, late: 0, refused: 0, remote: 0, sumMs: 0};
  const byWork = scenario.placement === 'work';
  const readReport = ({limiter, ledger}: ModelUpstream): LoadReport => ({
    inFlight: limiter.inFlight,
    queued: countWaiting(limiter, 0),
    slots: countUsableSlots(limiter),
    meanMs: Math.round(limiter.meanMs),
    failShare: limiter.failShare,
    cold: false,
    leaving: false,
    storeLost: false,
    work: byWork ? readWork(limiter, ledger, now) : undefined,
  });
  const countFrom = scenario.countFromMs ?? 0;
  const finish = (startedAt: number): void => {
    if (startedAt < countFrom) return;
    counts.sumMs += now - startedAt;
    if (now - startedAt <= goalMs) counts.inGoal++;
    else if (now - startedAt <= timeoutMs) counts.late++;
    else counts.refused++;
  };
  const choose = (
    {state, costs, dataCentre}: ModelDaemon,
    {kind, startedAt, tried}: ModelRequest,
  ): {target?: ListedUpstream; expectedMs: number} => {
    const context = {
      dataCentre,
      takenOut: new Set<string>(),
      tried,
      rank: 0,
      heavy: false,
    };
    if (tried.size >= MAX_REFUSALS) return {expectedMs: 0};
    if (!byWork) {
      const target = chooseTarget(state, listed, context, random, now);
      return {target, expectedMs: 0};
    }
    const cost = estimateCost(costs, kind, FEATURES, goalMs);
    const workContext: WorkContext = {
      ...context,
      cost,
      goalMs,
      goalLeftMs: startedAt + goalMs - now,
      deadlineLeftMs: startedAt + timeoutMs - now,
    };
    const target = chooseByWork(state, listed, workContext, random, now);
    return {target, expectedMs: cost.source === 'goal' ? 0 : cost.workMs};
  };
  const send = (daemon: ModelDaemon, request: ModelRequest): void => {
    const {state, costs, dataCentre} = daemon;
    const {kind, startedAt, tried} = request;
    const {target, expectedMs} = choose(daemon, request);
    if (!target) {
      if (startedAt >= countFrom) counts.refused++;
      return;
    }
    const {id} = target;
    const upstream = byId.get(id) as ModelUpstream;
    tried.add(id);
    recordTargetSend(state, id);
    const {limiter, ledger} = upstream;
    const reply = (handle: () => void): void => {
      const report = readReport(upstream);
      schedule(HOP_MS, () => {
        recordTargetEnd(state, id, report, now);
        handle();
      });
    };
    schedule(HOP_MS, () => {
      admit(
        limiter,
        {
          kind,
          rank: 0,
          goalAt: startedAt + goalMs,
          deadlineAt: startedAt + timeoutMs,
          start: () => {
            if (startedAt >= countFrom) {
              upstream.runs++;
              if (upstream.listed.dataCentre !== dataCentre) counts.remote++;
            }
            const end = startRun(ledger, kind, now);
            const slow = scenario.slowAt?.(upstream.index, now) ?? 1;
            const drawWork = scenario.drawWork ?? drawEvenWork;
            const factor = upstream.slowness * slow;
            const ms = request.workMs * factor * drawWork(random);
            schedule(ms, () => {
              end();
              recordSpeed(ledger.speed, ms, expectedMs);
              recordRunTime(ledger, kind, ms);
              release(limiter, kind, ms, 'answered', now);
              reply(() => {
                if (byWork) {
                  const speed = getRelativeSpeed(state, listed, id, now);
                  recordCost(costs, kind, FEATURES, ms * speed);
                }
                finish(startedAt);
              });
            });
          },
          refuse: (_reason, retryAfterMs) =>
            reply(() => {
              markTargetFull(state, id, 0, retryAfterMs, now);
              send(daemon, request);
            }),
        },
        now,
      );
    });
  };
  const pickDaemon = (): ModelDaemon => {
    const {dataCentres, skew} = scenario;
    const weightAt = scenario.weightAt ?? (i => (i === 0 ? skew : 1));
    const weights = Array.from({length: dataCentres}, (_, i) =>
      weightAt(i, now),
    );
    let left = random() * weights.reduce((sum, weight) => sum + weight, 0);
    let chosen = 0;
    while (chosen < dataCentres - 1 && left >= weights[chosen]) {
      left -= weights[chosen++];
    }
    const perDataCentre = Math.floor(daemons.length / dataCentres);
    const index = Math.floor(random() * perDataCentre) * dataCentres + chosen;
    return daemons[index];
  };
  const perMs =
    (scenario.utilisation *
      slots *
      slowness.reduce((sum, factor) => sum + 1 / factor, 0)) /
    workMs;
  const arrive = (kind: string, kindMs: number, rate: number): void => {
    const tried = new Set<string>();
    send(pickDaemon(), {kind, workMs: kindMs, startedAt: now, tried});
    plan(kind, kindMs, rate);
  };
  const plan = (kind: string, kindMs: number, rate: number): void => {
    if (now >= durationMs) return;
    const factor =
      kind === 'read'
        ? (scenario.rateAt?.(now) ?? 1)
        : (scenario.second?.rateAt(now) ?? 0);
    // A kind that has no requests now is looked at again soon.
    if (factor === 0) {
      schedule(IDLE_MS, () => plan(kind, kindMs, rate));
      return;
    }
    schedule(-Math.log(1 - random()) / (rate * factor), () =>
      arrive(kind, kindMs, rate),
    );
  };
  const {second} = scenario;
  if (second) plan('second', second.workMs, perMs);
  schedule(0, () => arrive('read', workMs, perMs));
  for (let next = events.pop(); next; next = events.pop()) {
    now = next.at;
    next.run();
  }
  const total = counts.inGoal + counts.late + counts.refused;
  const runs = upstreams.map(upstream => upstream.runs);
  const busy = upstreams.map(({runs, slowness}) => runs * slowness);
  return {
    inGoal: counts.inGoal / total,
    late: counts.late / total,
    refused: counts.refused / total,
    meanMs: counts.sumMs / (total - counts.refused),
    remote: counts.remote / total,
    busiest: compareToMean(runs),
    busiestBySpeed: compareToMean(busy),
    runs,
  };
}

function compareToMean(values: readonly number[]): number {
  const mean = values.reduce((sum, n) => sum + n, 0) / values.length;
  return Math.max(...values) / mean;
}

function drawEvenWork(random: () => number): number {
  return 0.5 + random();
}

function readWork(
  limiter: ConcurrencyLimiter,
  ledger: RunLedger,
  now: number,
): WorkReport {
  const kinds = limiter.queue.map(item => item.request.kind);
  const {slots, meanMs} = limiter;
  const left = computeWorkLeft(ledger, kinds, slots, meanMs, now);
  return {
    ...left,
    speed: getSpeed(ledger.speed),
    usualSpeed: getUsualSpeed(ledger.speed),
  };
}
