import {
  type BalanceState,
  type ConcurrencyLimiter,
  type ListedUpstream,
  type LoadReport,
  admit,
  chooseTarget,
  countUsableSlots,
  countWaiting,
  createLimiter,
  createRandom,
  markTargetFull,
  recordTargetEnd,
  recordTargetSend,
  release,
} from '../../src/internal.js';
import {makeUpstream} from './mesh_fixtures.js';

/** Load on one service; its upstreams and the daemons take turns among the data
 * centres. */
export interface BalanceScenario {
  readonly seed: number;
  readonly daemons: number;
  readonly dataCentres: number;
  /** Requests of the first data centre relative to each other one. */
  readonly skew: number;
  readonly slots: number;
  /** Time that a request takes at an upstream of mean speed, ms. */
  readonly workMs: number;
  /** Time of each upstream relative to the mean. */
  readonly slowness: readonly number[];
  /** Share of the slots of all upstreams that the requests need. */
  readonly utilisation: number;
  /** Time within which an answer counts as in time, ms. */
  readonly goalMs: number;
  readonly timeoutMs: number;
  readonly durationMs: number;
}

/** What customers got. */
export interface BalanceResult {
  readonly inGoal: number;
  readonly late: number;
  readonly refused: number;
  /** Share of the requests that another data centre ran. */
  readonly remote: number;
  /** Requests of the busiest upstream relative to the mean. */
  readonly busiest: number;
}

/** Time between a daemon and an owner, ms. */
const HOP_MS = 2;

/** Refusals for lack of slots after which an entry gives up. */
const MAX_REFUSALS = 2;

interface ModelDaemon {
  readonly state: BalanceState;
  readonly dataCentre: string;
}

interface ModelUpstream {
  readonly listed: ListedUpstream;
  readonly limiter: ConcurrencyLimiter;
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
      listed: {...listed, coldUntil: 0},
      limiter,
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
      dataCentre: `dc${i % scenario.dataCentres}`,
    }),
  );
  const counts = {inGoal: 0, late: 0, refused: 0, remote: 0};
  const readReport = ({limiter}: ModelUpstream): LoadReport => ({
    inFlight: limiter.inFlight,
    queued: countWaiting(limiter, 0),
    slots: countUsableSlots(limiter),
    meanMs: Math.round(limiter.meanMs),
    failShare: limiter.failShare,
    cold: false,
    leaving: false,
    storeLost: false,
  });
  const finish = (startedAt: number): void => {
    if (now - startedAt <= goalMs) counts.inGoal++;
    else if (now - startedAt <= timeoutMs) counts.late++;
    else counts.refused++;
  };
  const send = (
    {state, dataCentre}: ModelDaemon,
    startedAt: number,
    tried: Set<string>,
  ): void => {
    const context = {
      dataCentre,
      takenOut: new Set<string>(),
      tried,
      rank: 0,
      heavy: false,
    };
    const target =
      tried.size < MAX_REFUSALS
        ? chooseTarget(state, listed, context, random, now)
        : undefined;
    if (!target) {
      counts.refused++;
      return;
    }
    const {id} = target;
    const upstream = byId.get(id) as ModelUpstream;
    tried.add(id);
    recordTargetSend(state, id);
    const {limiter} = upstream;
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
          kind: 'read',
          rank: 0,
          goalAt: startedAt + goalMs,
          deadlineAt: startedAt + timeoutMs,
          start: () => {
            upstream.runs++;
            if (upstream.listed.dataCentre !== dataCentre) counts.remote++;
            const ms = workMs * upstream.slowness * (0.5 + random());
            schedule(ms, () => {
              release(limiter, 'read', ms, 'answered', now);
              reply(() => finish(startedAt));
            });
          },
          refuse: (_reason, retryAfterMs) =>
            reply(() => {
              markTargetFull(state, id, 0, retryAfterMs, now);
              send({state, dataCentre}, startedAt, tried);
            }),
        },
        now,
      );
    });
  };
  const pickDaemon = (): ModelDaemon => {
    const {dataCentres, skew} = scenario;
    const weight = random() * (dataCentres - 1 + skew);
    const chosen = weight < skew ? 0 : 1 + Math.floor(weight - skew);
    const perDataCentre = Math.floor(daemons.length / dataCentres);
    const index = Math.floor(random() * perDataCentre) * dataCentres + chosen;
    return daemons[index];
  };
  const perMs =
    (scenario.utilisation *
      slots *
      slowness.reduce((sum, factor) => sum + 1 / factor, 0)) /
    workMs;
  const arrive = (): void => {
    send(pickDaemon(), now, new Set());
    if (now < durationMs) schedule(-Math.log(1 - random()) / perMs, arrive);
  };
  schedule(0, arrive);
  for (let next = events.pop(); next; next = events.pop()) {
    now = next.at;
    next.run();
  }
  const total = counts.inGoal + counts.late + counts.refused;
  const runs = upstreams.map(upstream => upstream.runs);
  const mean = runs.reduce((sum, n) => sum + n, 0) / runs.length;
  return {
    inGoal: counts.inGoal / total,
    late: counts.late / total,
    refused: counts.refused / total,
    remote: counts.remote / total,
    busiest: Math.max(...runs) / mean,
  };
}
