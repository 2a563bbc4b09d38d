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
  /** How upstreams are compared; 'requests' by default. */
  readonly placement?: 'requests' | 'work';
  /** Draws the work of a request relative to the mean; 0.5 to 1.5 by default. */
  readonly drawWork?: (random: () => number) => number;
  /** Factor on the time of an upstream at a time, 1 by default. */
  readonly slowAt?: (upstream: number, now: number) => number;
  /** Weight of the requests of a data centre at a time; by default `skew` for the
   * first one and 1 for the others. */
  readonly weightAt?: (dataCentre: number, now: number) => number;
  /** Factor on the rate of all requests at a time, 1 by default. */
  readonly rateAt?: (now: number) => number;
  /** Requests of a second kind, which arrive besides. */
  readonly second?: SecondKind;
  /** Time from which customers' results count, ms. */
  readonly countFromMs?: number;
}

/** Requests that come besides those of the scenario, with its goals. */
export interface SecondKind {
  readonly workMs: number;
  /** Rate relative to the first kind at a time. */
  readonly rateAt: (now: number) => number;
}

/** Draws work that spreads widely within a kind: a tenth of the requests cost seven
 * times what another tenth costs at most. The mean is 1. */
export function drawSpreadWork(random: () => number): number {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return Math.exp(SPREAD * normal - SPREAD ** 2 / 2);
}

/** Standard deviation of the logarithm of work: the tenth and the ninetieth
 * percentile are 1.28 of it above and below the middle. */
const SPREAD = Math.log(7) / 2.56;

/** What customers got. */
export interface BalanceResult {
  readonly inGoal: number;
  readonly late: number;
  readonly refused: number;
  /** Mean time of the answers, ms. */
  readonly meanMs: number;
  /** Share of the requests that another data centre ran. */
  readonly remote: number;
  /** Requests of the busiest upstream relative to the mean. */
  readonly busiest: number;
  /** The same, each upstream's requests divided by its speed. */
  readonly busiestBySpeed: number;
  /** Requests that each upstream ran since customers' results count. */
  readonly runs: readonly number[];
}
