import {
  listDaemons,
  resolveDocument,
  selectDaemons,
  type Scenario,
  type Step,
  type StepArgs,
  type StepName,
} from '../../standins/scenario.js';
import {
  findFailures,
  type ObservedDaemon,
  type ObservedState,
} from '../../standins/scenario_checks.js';
import {Network, type Node, type NetworkOptions} from './network.js';
import {simulateRequests, type SimulatedRequests} from './scenario_requests.js';

/** Time limit for the daemons to serve the first version, ms. */
const START_LIMIT_MS = 20_000;

/** Scenario that is running on the in-memory network. */
export interface ScenarioRun {
  readonly network: Network;
  readonly requests: SimulatedRequests;
  /** Ids of partitioned daemons. */
  readonly cutOff: Set<string>;
  /** Source calls in each second since the last check. */
  callsPerSecond: number[];
  /** Versions put in force since the last check. */
  readonly servedVersions: number[];
  select(which: readonly string[]): string[];
}

type StepHandler<N extends StepName> = (
  run: ScenarioRun,
  args: StepArgs<N>,
) => void;

const HANDLERS: {readonly [N in StepName]: StepHandler<N>} = {
  advance: ({network}, ms) => network.run(ms),
  publish,
  'take-out': (run, name) => setDataCentre(run, name, 'out'),
  'bring-back': (run, name) => setDataCentre(run, name, 'in'),
  cut: (run, {which, source}) => {
    for (const id of run.select(which)) run.cutOff.add(id);
    run.network.cut(node => run.cutOff.has(node.id), source);
  },
  heal: run => {
    run.cutOff.clear();
    run.network.heal();
  },
  pause: (run, which) => run.select(which).forEach(id => run.network.pause(id)),
  resume: (run, which) =>
    run.select(which).forEach(id => run.network.resume(id)),
  kill: (run, which) => run.select(which).forEach(id => run.network.kill(id)),
  restart: (run, which) =>
    run.select(which).forEach(id => run.network.restart(id)),
  skew: (run, {which, by, behind}) => {
    for (const id of run.select(which)) {
      run.network.getNode(id).skewMs = behind ? -by : by;
    }
  },
  upstreams: () => {
    throw new Error('the in-memory network has no upstreams');
  },
  source: setSource,
  load: (run, args) => run.requests.startLoad(args, run.select(args.at)),
  expect: checkExpectation,
};

/** Runs a scenario on the network; throws at the first failed step. */
export function runScenario(scenario: Scenario): void {
  const run = start(scenario);
  try {
    scenario.steps.forEach((step, i) => executeStep(run, step, i + 1));
  } finally {
    run.network.stop();
  }
}

function executeStep(run: ScenarioRun, step: Step, position: number): void {
  try {
    const handler = HANDLERS[step.name] as StepHandler<StepName>;
    handler(run, step.args);
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    const at = `step ${position} (${step.name}) at ${run.network.now} ms`;
    throw new Error(`${at}: ${reason}`, {cause: err});
  }
}

function start({given}: Scenario): ScenarioRun {
  const daemons = listDaemons(given);
  const serviceOf = new Map(daemons.map(({id, service}) => [id, service]));
  const document = resolveDocument(given);
  const perDataCentre = daemons.length / given.dataCentres.length;
  const servedVersions: number[] = [];
  const network = createNetwork(
    {
      onVersion: (_node, version) => servedVersions.push(version),
      seed: given.seed,
      dataCentres: Object.fromEntries(
        given.dataCentres.map(name => [name, perDataCentre]),
      ),
      regionOf: name => document.dataCentres[name].region,
      document,
    },
    serviceOf,
  );
  const cutOff = new Set<string>();
  const run: ScenarioRun = {
    network,
    cutOff,
    requests: simulateRequests(network, cutOff),
    callsPerSecond: [],
    servedVersions,
    select: which => selectDaemons(daemons, which),
  };
  const convergenceMs = network.runUntil(
    () => network.isConverged(),
    START_LIMIT_MS,
  );
  if (convergenceMs === undefined) {
    network.stop();
    throw new Error('the daemons did not start serving the first version');
  }
  sampleSourceCalls(run);
  return run;
}

/** Creates a network whose daemons have the services of the scenario. */
function createNetwork(
  options: NetworkOptions,
  serviceOf: ReadonlyMap<string, string>,
): Network {
  class ScenarioNetwork extends Network {
    override start(id: string, skewMs = 0) {
      const node = super.start(id, skewMs);
      const service = serviceOf.get(id) ?? node.board.self.service;
      node.board.self = {...node.board.self, service};
      return node;
    }
  }
  return new ScenarioNetwork(options);
}

function sampleSourceCalls(run: ScenarioRun): void {
  const {network} = run;
  const before = network.calls.source;
  network.after(1_000, () => {
    run.callsPerSecond.push(network.calls.source - before);
    sampleSourceCalls(run);
  });
}

function publish(
  {network}: ScenarioRun,
  {set = {}, ops = [], base, author}: StepArgs<'publish'>,
): void {
  const {version, digest} = network.expectedConfig.current!;
  const setOps = Object.entries(set).map(([path, value]) => ({
    op: 'replace',
    path,
    value,
  }));
  network.publish('patch', {
    base: base ?? version,
    baseDigest: digest,
    ops: [...setOps, ...ops],
    author,
    note: '',
  });
}

function setDataCentre(
  run: ScenarioRun,
  name: string,
  state: 'in' | 'out',
): void {
  const set = {[`/dataCentres/${name}/state`]: state};
  publish(run, {set, author: 'operator'});
}

function setSource({network}: ScenarioRun, mode: StepArgs<'source'>): void {
  const {source, entries} = network;
  source.down = mode === 'down';
  // One entry behind, because the network completes watches in any mode.
  source.staleAt = mode === 'stale' ? (entries.at(-2)?.index ?? 0) : undefined;
  source.backwards = mode === 'backwards' ? 0.5 : 0;
}

/** Waits until an expectation holds; throws the failures on timeout. */
function checkExpectation(
  run: ScenarioRun,
  expected: StepArgs<'expect'>,
): void {
  let failures: string[] = [];
  const holds = () => {
    failures = findFailures(expected, observeState(run, expected.at));
    return failures.length === 0;
  };
  if (run.network.runUntil(holds, expected.within) === undefined) {
    throw new Error(failures.slice(0, 8).join('; '));
  }
  if (expected.sourceCallsPerSecond) run.callsPerSecond = [];
  if (expected.lowestServed) run.servedVersions.length = 0;
}

function observeState(run: ScenarioRun, at: readonly string[]): ObservedState {
  const {network, requests, servedVersions, select} = run;
  const selected = new Set(select(at));
  const nodes = network
    .getLiveNodes()
    .filter(node => selected.has(node.id) && !node.paused);
  return {
    newest: network.expectedConfig.current!,
    daemons: nodes.map(observeDaemon),
    requests: requests.counts,
    runs: requests.countRuns(),
    crashes: 0,
    fallOvers: 0,
    peakSourceCalls: Math.max(0, ...run.callsPerSecond),
    lowestServed: Math.min(...servedVersions),
    select,
    listActive: ms =>
      new Set(
        requests.runs
          .filter(({startedAt}) => startedAt > network.now - ms)
          .map(({upstream}) => upstream),
      ),
  };
}

function observeDaemon({id, board}: Node): ObservedDaemon {
  const {inForce, confirmed, refusals} = board.config;
  const known = [...board.members.byId.values()];
  return {
    id,
    version: inForce?.version ?? 0,
    digest: inForce?.digest ?? '',
    confirmed,
    viewStale: board.viewStale,
    refusals: refusals.map(({reason}) => reason),
    members: new Map(known.map(({record}) => [record.id, record.state])),
  };
}
