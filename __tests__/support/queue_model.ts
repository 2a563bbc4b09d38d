import {
  type ColdBound,
  type LimiterRequest,
  type SidecarSettings,
  admit,
  createLimiter,
  createRandom,
  releaseRequest,
  removeQueued,
  setCold,
  setColdRate,
  startQueued,
  computeMaxWaitMs,
} from '../../src/internal.js';
import {createEventQueue} from './event_queue.js';

/** Requests of one kind and organisation to one upstream. */
export interface QueueLoad {
  readonly kind: string;
  readonly organisation?: string;
  readonly rank: number;
  /** Requests per second at a time, ms. */
  readonly perS: (now: number) => number;
  /** Time in a slot of one request, ms. */
  readonly slotMs: (random: () => number) => number;
  readonly goalMs: number;
  readonly timeoutMs: number;
  /** Refused requests come back once after the time that they were told. */
  readonly returns?: boolean;
}

/** Load on one upstream. */
export interface QueueScenario {
  readonly seed: number;
  readonly placement?: SidecarSettings['placement'];
  readonly slots: number;
  readonly durationMs: number;
  /** The upstream is cold for `ms` from the start and sustains `perS` requests per
   * second in that time. */
  readonly cold?: {ms: number; perS: number; bound?: ColdBound};
  readonly loads: readonly QueueLoad[];
}

/** What the requests of one load got, as shares. */
export interface QueueResult {
  readonly asked: number;
  readonly inGoal: number;
  readonly late: number;
  readonly refused: number;
  /** Mean time to a refusal, ms. */
  readonly refusedMs: number;
}

interface Counts {
  asked: number;
  inGoal: number;
  late: number;
  refused: number;
  refusedMs: number;
}

/** Plays a load to the limiter of one upstream in simulated time; returns what
 * each of `scenario.loads` got. */
export function playQueue(scenario: QueueScenario): QueueResult[] {
  const random = createRandom(scenario.seed);
  const {schedule, runAll, now} = createEventQueue();
  const {placement, cold} = scenario;
  const limiter = createLimiter(0, placement, cold?.bound);
  limiter.slots = scenario.slots;
  setCold(limiter, cold?.ms ?? 0, 0);
  if (cold) setColdRate(limiter, cold.perS, 0);
  // As the owner does: the next start that the rates allow has a timer.
  const process = (): void => {
    const waitMs = startQueued(limiter, now());
    if (waitMs !== undefined) schedule(Math.max(1, waitMs), process);
  };
  const send = (load: QueueLoad, counts: Counts, firstAt: number): void => {
    const arrivedAt = now();
    const slotMs = load.slotMs(random);
    let isEnded = false;
    const refuse = (retryAfterMs: number): void => {
      isEnded = true;
      if (load.returns && firstAt === arrivedAt) {
        // Customers wait as told, for a third of the time that they have left at most.
        const leftMs = firstAt + load.timeoutMs - now();
        const waitMs = Math.min(leftMs / 3, retryAfterMs * (1 + random()));
        schedule(waitMs, () => send(load, counts, firstAt));
        return;
      }
      counts.refused++;
      counts.refusedMs += now() - arrivedAt;
    };
    const request: LimiterRequest = {
      kind: load.kind,
      rank: load.rank,
      organisation: load.organisation,
      goalAt: firstAt + load.goalMs,
      deadlineAt: firstAt + load.timeoutMs,
      start: () => {
        isEnded = true;
        schedule(slotMs, () => {
          const isInGoal = now() <= request.goalAt;
          if (now() > request.deadlineAt) counts.refused++;
          else if (isInGoal) counts.inGoal++;
          else counts.late++;
          releaseRequest(limiter, request, slotMs, 'answered', now());
        });
      },
      refuse: (_reason, retryAfterMs) => refuse(retryAfterMs),
    };
    admit(limiter, request, now());
    if (isEnded) return;
    if (cold && now() < cold.ms) process();
    schedule(
      computeMaxWaitMs(limiter, load.kind, request.deadlineAt - now()),
      () => {
        if (!isEnded && removeQueued(limiter, request)) refuse(0);
      },
    );
  };
  const results = scenario.loads.map((load): Counts => {
    const counts = {asked: 0, inGoal: 0, late: 0, refused: 0, refusedMs: 0};
    // Arrivals at the highest rate are thinned out to that of their time.
    const times = Array.from({length: scenario.durationMs / 100}, (_, i) =>
      load.perS(i * 100),
    );
    const mostPerS = Math.max(...times);
    const arrive = (): void => {
      if (now() >= scenario.durationMs) return;
      schedule((-Math.log(1 - random()) * 1_000) / mostPerS, arrive);
      if (random() * mostPerS > load.perS(now())) return;
      counts.asked++;
      send(load, counts, now());
    };
    schedule((-Math.log(1 - random()) * 1_000) / mostPerS, arrive);
    return counts;
  });
  runAll();
  return results.map(counts => ({
    asked: counts.asked,
    inGoal: counts.inGoal / counts.asked,
    late: counts.late / counts.asked,
    refused: counts.refused / counts.asked,
    refusedMs: counts.refusedMs / Math.max(1, counts.refused),
  }));
}
