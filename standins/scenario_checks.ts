import type {StepArgs} from './scenario.js';

type Expectation = StepArgs<'expect'>;
type ExpectedRange = {atLeast?: number; atMost?: number};

/** Observed state of a daemon. */
export interface ObservedDaemon {
  readonly id: string;
  /** Version in force, 0 if none. */
  readonly version: number;
  readonly digest: string;
  readonly confirmed: boolean;
  readonly viewStale: boolean;
  /** Reasons of recently refused entries. */
  readonly refusals: readonly string[];
  /** Member states by id. */
  readonly members: ReadonlyMap<string, string>;
}

/** Customer requests by result; `unclear` may have run. */
export interface RequestCounts {
  readonly answered: number;
  readonly refused: number;
  readonly unclear: number;
  readonly reasons: Readonly<Record<string, number>>;
}

/** State of a running scenario, checked against expectations. */
export interface ObservedState {
  /** Version that the published entries produce. */
  readonly newest: {readonly version: number; readonly digest: string};
  /** Daemons that the expectation selects. */
  readonly daemons: readonly ObservedDaemon[];
  readonly requests: RequestCounts;
  /** Number of runs by operation. */
  readonly runs: ReadonlyMap<string, number>;
  /** Upstream crashes; `fallOvers` are cold upstreams that were overloaded. */
  readonly crashes: number;
  readonly fallOvers: number;
  /** Peak source calls per second since the last check. */
  readonly peakSourceCalls: number;
  /** Lowest version put in force since the last check. */
  readonly lowestServed: number;
  select(which: readonly string[]): string[];
  /** Lists daemons whose upstreams started a run within the last `ms`. */
  listActive(ms: number): ReadonlySet<string>;
}

type Check<K extends keyof Expectation> = (
  expected: NonNullable<Expectation[K]>,
  state: ObservedState,
) => string[];

type CheckName = Exclude<keyof Expectation, 'within' | 'at'>;

const CHECKS: {readonly [K in CheckName]: Check<K>} = {
  inForce: (expected, {newest, daemons}) => {
    const version = expected === 'newest' ? newest.version : expected;
    return daemons.flatMap(daemon => {
      const isSame =
        daemon.version === version &&
        (version !== newest.version || daemon.digest === newest.digest);
      return isSame
        ? []
        : `${daemon.id} serves ${daemon.version}, not ${version}`;
    });
  },
  confirmed: (expected, {daemons}) =>
    daemons
      .filter(({confirmed}) => confirmed !== expected)
      .map(({id}) => `${id} confirmed: ${!expected}`),
  viewStale: (expected, {daemons}) =>
    daemons
      .filter(({viewStale}) => viewStale !== expected)
      .map(({id}) => `${id} viewStale: ${!expected}`),
  refusedEntry: (expected, {daemons}) =>
    daemons
      .filter(({refusals}) => !refusals.some(text => text.includes(expected)))
      .map(
        ({id, refusals}) => `${id} refused: ${refusals.join() || 'nothing'}`,
      ),
  sees: ({which, as}, {daemons, select}) =>
    daemons.flatMap(({id, members}) =>
      select(which)
        .filter(other => other !== id)
        .map(other => ({other, state: members.get(other) ?? 'unknown'}))
        .filter(({state}) => state !== as)
        .map(({other, state}) => `${id} sees ${other} as ${state}`),
    ),
  sourceCallsPerSecond: (expected, {peakSourceCalls}) =>
    checkRange('source calls in a second', peakSourceCalls, expected),
  answered: (expected, {requests}) =>
    checkRange('answered', requests.answered, expected),
  refused: (expected, {requests}) =>
    checkRange('refused', requests.refused, expected),
  unclear: (expected, {requests}) =>
    checkRange('unclear', requests.unclear, expected),
  reasons: (expected, {requests}) =>
    Object.entries(requests.reasons)
      .filter(([reason]) => !expected.includes(reason))
      .map(([reason, times]) => `${times} refused with ${reason}`),
  runsPerOperation: (expected, {runs}) =>
    [...runs]
      .filter(([operation]) => operation.startsWith(expected.path ?? ''))
      .flatMap(([operation, times]) =>
        checkRange(`runs of ${operation}`, times, expected),
      ),
  crashes: (expected, {crashes}) => checkRange('crashes', crashes, expected),
  fallOvers: (expected, {fallOvers}) =>
    checkRange('fallOvers', fallOvers, expected),
  lowestServed: (expected, {lowestServed}) =>
    checkRange('lowest version', lowestServed, expected),
  noNewWork: (expected, {select, listActive}) => {
    const active = listActive(expected.for);
    return select(expected.in)
      .filter(id => active.has(id))
      .map(id => `${id} started new requests`);
  },
  newWork: (expected, {select, listActive}) => {
    const active = listActive(expected.for);
    const isMet = select(expected.in).some(id => active.has(id));
    return isMet ? [] : ['no new requests started'];
  },
};

/** Returns a message for each failed expectation; empty if all hold. */
export function findFailures(
  expected: Expectation,
  state: ObservedState,
): string[] {
  const names = (Object.keys(CHECKS) as CheckName[]).filter(
    name => expected[name] !== undefined,
  );
  if (names.length === 0) return ['nothing is expected'];
  return names.flatMap(name => {
    const check = CHECKS[name] as Check<CheckName>;
    return check(expected[name]!, state);
  });
}

function checkRange(
  name: string,
  value: number,
  range: ExpectedRange,
): string[] {
  const {atLeast = 0, atMost = Infinity} = range;
  return value >= atLeast && value <= atMost ? [] : [`${name}: ${value}`];
}
