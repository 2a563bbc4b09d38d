import type {StepArgs} from './scenario.js';

type Expectation = StepArgs<'expect'>;
type Range = {atLeast?: number; atMost?: number};

/** What a daemon shows of itself. */
export interface DaemonView {
  readonly id: string;
  /** Version in force, 0 for none. */
  readonly version: number;
  readonly digest: string;
  readonly confirmed: boolean;
  readonly viewStale: boolean;
  /** Reasons of the refused entries that it remembers. */
  readonly refusals: readonly string[];
  /** States of the other members by id. */
  readonly members: ReadonlyMap<string, string>;
}

/** Counts of customer requests. */
export interface RequestCounts {
  readonly answered: number;
  readonly refused: number;
  readonly unclear: number;
  readonly reasons: Readonly<Record<string, number>>;
}

/** State of a running scenario that expectations are checked against. */
export interface ScenarioFacts {
  /** Newest version that the published series leads to. */
  readonly newest: {readonly version: number; readonly digest: string};
  /** Daemons that the expectation concerns. */
  readonly daemons: readonly DaemonView[];
  readonly requests: RequestCounts;
  /** Runs by operation. */
  readonly runs: ReadonlyMap<string, number>;
  /** Crashes of upstreams; `fallOvers` are those from load when cold. */
  readonly crashes: number;
  readonly fallOvers: number;
  /** Most source calls within a second since the last check. */
  readonly peakSourceCalls: number;
  /** Lowest version put in force since the last check. */
  readonly lowestServed: number;
  select(which: readonly string[]): string[];
  /** Daemons whose upstreams have started a run within the last `ms`. */
  listWorking(ms: number): ReadonlySet<string>;
}

type Check<K extends keyof Expectation> = (
  wanted: NonNullable<Expectation[K]>,
  facts: ScenarioFacts,
) => string[];

type CheckedKey = Exclude<keyof Expectation, 'within' | 'at'>;

const CHECKS: {readonly [K in CheckedKey]: Check<K>} = {
  inForce: (wanted, {newest, daemons}) => {
    const version = wanted === 'newest' ? newest.version : wanted;
    return daemons.flatMap(daemon => {
      const isSame =
        daemon.version === version &&
        (version !== newest.version || daemon.digest === newest.digest);
      return isSame
        ? []
        : `${daemon.id} serves ${daemon.version}, not ${version}`;
    });
  },
  confirmed: (wanted, {daemons}) =>
    daemons
      .filter(({confirmed}) => confirmed !== wanted)
      .map(({id}) => `${id} confirmed: ${!wanted}`),
  viewStale: (wanted, {daemons}) =>
    daemons
      .filter(({viewStale}) => viewStale !== wanted)
      .map(({id}) => `${id} viewStale: ${!wanted}`),
  refusedEntry: (wanted, {daemons}) =>
    daemons
      .filter(({refusals}) => !refusals.some(text => text.includes(wanted)))
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
  sourceCallsPerSecond: (wanted, {peakSourceCalls}) =>
    checkRange('source calls in a second', peakSourceCalls, wanted),
  answered: (wanted, {requests}) =>
    checkRange('answered', requests.answered, wanted),
  refused: (wanted, {requests}) =>
    checkRange('refused', requests.refused, wanted),
  unclear: (wanted, {requests}) =>
    checkRange('unclear', requests.unclear, wanted),
  reasons: (wanted, {requests}) =>
    Object.entries(requests.reasons)
      .filter(([reason]) => !wanted.includes(reason))
      .map(([reason, times]) => `${times} refused with ${reason}`),
  runsPerOperation: (wanted, {runs}) =>
    [...runs]
      .filter(([operation]) => operation.startsWith(wanted.path ?? ''))
      .flatMap(([operation, times]) =>
        checkRange(`runs of ${operation}`, times, wanted),
      ),
  crashes: (wanted, {crashes}) => checkRange('crashes', crashes, wanted),
  fallOvers: (wanted, {fallOvers}) =>
    checkRange('fallOvers', fallOvers, wanted),
  lowestServed: (wanted, {lowestServed}) =>
    checkRange('lowest version', lowestServed, wanted),
  noNewWork: (wanted, {select, listWorking}) => {
    const working = listWorking(wanted.for);
    return select(wanted.in)
      .filter(id => working.has(id))
      .map(id => `new work in ${id}`);
  },
  newWork: (wanted, {select, listWorking}) => {
    const working = listWorking(wanted.for);
    const isMet = select(wanted.in).some(id => working.has(id));
    return isMet ? [] : ['no new work'];
  },
};

/** Finds what does not hold; an empty list means that all of it does. */
export function findFaults(
  wanted: Expectation,
  facts: ScenarioFacts,
): string[] {
  const names = (Object.keys(CHECKS) as CheckedKey[]).filter(
    name => wanted[name] !== undefined,
  );
  if (names.length === 0) return ['nothing is expected'];
  return names.flatMap(name => {
    const check = CHECKS[name] as Check<CheckedKey>;
    return check(wanted[name]!, facts);
  });
}

function checkRange(name: string, value: number, range: Range): string[] {
  const {atLeast = 0, atMost = Infinity} = range;
  return value >= atLeast && value <= atMost ? [] : [`${name}: ${value}`];
}
