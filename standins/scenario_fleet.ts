import {createRandom} from '../src/internal.js';
import type {Customer} from './customer.js';
import {startFleet, type Fleet} from './fleet.js';
import {delay, startLoad, type ScenarioRun} from './scenario_requests.js';
import {
  findFailures,
  type ObservedDaemon,
  type ObservedState,
} from './scenario_checks.js';
import {
  listDaemons,
  resolveDocument,
  selectDaemons,
  type Scenario,
  type Step,
  type StepArgs,
  type StepName,
} from './scenario.js';

const START_TIMEOUT_MS = 30_000;
const POLL_MS = 100;

/** Steps and expectations that separate processes do not support. */
export const UNSUPPORTED_ON_PROCESSES: ReadonlySet<string> = new Set([
  'cut',
  'heal',
  'skew',
  'lowestServed',
]);

type StepHandler<N extends StepName> = (
  run: ScenarioRun,
  args: StepArgs<N>,
) => void | Promise<void>;

const HANDLERS: {readonly [N in StepName]: StepHandler<N>} = {
  advance: (_run, ms) => delay(ms),
  publish,
  'take-out': (run, name) => setDataCentre(run, name, 'out'),
  'bring-back': (run, name) => setDataCentre(run, name, 'in'),
  cut: rejectStep,
  heal: rejectStep,
  skew: rejectStep,
  pause: (run, which) => {
    for (const id of run.select(which)) {
      run.paused.add(id);
      run.fleet.get(id).daemon.signal('SIGSTOP');
    }
  },
  resume: (run, which) => {
    for (const id of run.select(which)) {
      run.paused.delete(id);
      run.fleet.get(id).daemon.signal('SIGCONT');
    }
  },
  kill: (run, which) => killDaemons(run, which),
  restart: async (run, which) => {
    await killDaemons(run, which);
    for (const id of run.select(which)) run.fleet.restart(id);
  },
  upstreams: async (run, {which, do: action}) => {
    for (const id of run.select(which)) {
      const {upstream} = run.fleet.get(id);
      if (action === 'stall') upstream.stall();
      if (action === 'release') upstream.stall(false);
      if (action === 'crash') await upstream.crash();
      if (action === 'restart') await upstream.restart();
      if (action === 'chill') upstream.makeCold();
    }
  },
  source: ({fleet}, mode) => {
    if (mode === 'up') fleet.config.setMode({kind: 'up'});
    if (mode === 'down') fleet.config.setMode({kind: 'down', how: 'reset'});
    if (mode === 'backwards') fleet.config.setMode({kind: 'backwards', by: 1});
    const index = fleet.config.series.index();
    if (mode === 'stale') fleet.config.setMode({kind: 'stale', index});
  },
  load: startLoad,
  expect: checkExpectation,
};

function rejectStep(): never {
  throw new Error('not supported with separate processes');
}

async function killDaemons(
  run: ScenarioRun,
  which: readonly string[],
): Promise<void> {
  for (const id of run.select(which)) {
    const {daemon} = run.fleet.get(id);
    daemon.signal('SIGKILL');
    await daemon.exited;
  }
}

function publish(
  {fleet}: ScenarioRun,
  {set = {}, ops = [], base, author}: StepArgs<'publish'>,
): void {
  const {version, digest} = fleet.getVersion();
  const setOps = Object.entries(set).map(([path, value]) => ({
    op: 'replace',
    path,
    value,
  }));
  fleet.publishEntry('patch', {
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

async function checkExpectation(
  run: ScenarioRun,
  expected: StepArgs<'expect'>,
): Promise<void> {
  const endsAt = performance.now() + expected.within;
  for (;;) {
    const failures = findFailures(
      expected,
      await observeState(run, expected.at),
    );
    if (failures.length === 0) break;
    if (performance.now() >= endsAt) {
      throw new Error(failures.slice(0, 8).join('; '));
    }
    await delay(POLL_MS);
  }
  if (expected.sourceCallsPerSecond) run.callsPerSecond = [];
}

async function observeState(
  run: ScenarioRun,
  at: readonly string[],
): Promise<ObservedState> {
  const {fleet, select, paused} = run;
  const ids = select(at).filter(
    id => fleet.get(id).daemon.isRunning() && !paused.has(id),
  );
  const {runs} = fleet.ledger;
  const runsByOperation = new Map<string, number>();
  for (const {operation} of runs) {
    runsByOperation.set(operation, (runsByOperation.get(operation) ?? 0) + 1);
  }
  return {
    newest: fleet.getVersion(),
    daemons: await Promise.all(ids.map(id => observeDaemon(fleet, id))),
    requests: run.counts,
    runs: runsByOperation,
    crashes: sumCounts(fleet, 'crashes'),
    fallOvers: sumCounts(fleet, 'fallOvers'),
    peakSourceCalls: Math.max(0, ...run.callsPerSecond),
    // `/status` shows only the current version.
    lowestServed: Number.NaN,
    select,
    listActive: ms => {
      const since = performance.now() - ms;
      const recent = runs.filter(({startedAtMs}) => startedAtMs > since);
      return new Set(recent.map(({upstream}) => upstream));
    },
  };
}

function sumCounts(fleet: Fleet, name: 'crashes' | 'fallOvers'): number {
  return fleet.instances.reduce((sum, i) => sum + i.upstream.counts[name], 0);
}

async function observeDaemon(
  fleet: Fleet,
  id: string,
): Promise<ObservedDaemon> {
  const status = await fleet.readStatus(id);
  const members = Object.values(status?.members ?? {}).flatMap(states =>
    Object.entries(states).flatMap(([state, known]) =>
      known.map(member => [member, state] as const),
    ),
  );
  return {
    id,
    version: status?.version?.version ?? 0,
    digest: status?.version?.digest ?? '',
    confirmed: status?.version?.confirmed ?? false,
    viewStale: status?.viewStale ?? false,
    refusals: (status?.refusals ?? []).map(({reason}) => reason),
    members: new Map(members),
  };
}

function sampleSourceCalls(run: ScenarioRun): void {
  let before = run.fleet.config.counts.calls;
  const timer = setInterval(() => {
    const {calls} = run.fleet.config.counts;
    run.callsPerSecond.push(calls - before);
    before = calls;
  }, 1_000);
  run.timers.add(timer);
}

/** Runs a scenario on separate processes; throws at the first failed step. */
export async function runOnProcesses(
  scenario: Scenario,
  customer: Customer,
): Promise<void> {
  const daemons = listDaemons(scenario.given);
  const fleet = await startFleet({
    instances: daemons,
    document: resolveDocument(scenario.given),
    upstream: {restartMs: 1_000},
  });
  const run: ScenarioRun = {
    fleet,
    customer,
    random: createRandom(scenario.given.seed),
    counts: {sent: 0, answered: 0, refused: 0, unclear: 0, reasons: {}},
    paused: new Set(),
    timers: new Set(),
    callsPerSecond: [],
    select: which => selectDaemons(daemons, which),
  };
  try {
    await fleet.waitReady(START_TIMEOUT_MS);
    await fleet.waitVersion(START_TIMEOUT_MS);
    sampleSourceCalls(run);
    for (const [i, step] of scenario.steps.entries()) {
      await executeStep(run, step, i + 1);
    }
  } finally {
    for (const timer of run.timers) clearInterval(timer);
    for (const id of run.paused) fleet.get(id).daemon.signal('SIGCONT');
    await fleet.stop();
  }
}

async function executeStep(
  run: ScenarioRun,
  step: Step,
  position: number,
): Promise<void> {
  try {
    const handler = HANDLERS[step.name] as StepHandler<StepName>;
    await handler(run, step.args);
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    throw new Error(`step ${position} (${step.name}): ${reason}`, {cause: err});
  }
}
