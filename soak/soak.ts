import {mkdtempSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom} from '../src/internal.js';
import {createFakeStore} from '../standins/kv_store.js';
import {startConnections} from './connections.js';
import {checkCopies} from './copies.js';
import {ROUTE_TIMEOUT_MS, sendRequest, startCustomers} from './customers.js';
import {Daemon, createDaemonSettings, PORTS, RECOVERY_MS} from './daemons.js';
import {type Bounds, Checker} from './checker.js';
import {FAULTS, ZONES} from './faults.js';
import {
  BOUNDS,
  type Harness,
  pickFrom,
  publish,
  ROUTED_VERSIONS,
  waitUntilReady,
} from './harness.js';
import {writeProgram} from './program.js';
import {startFaultProxy} from './proxy.js';
import {checkMemory} from './slow_readers.js';
import {startStoreServer} from './store_server.js';
import {Upstream} from './upstream.js';

/** Bounds without limits on time and on the load of cold upstreams. */
const UNTIMED_BOUNDS: Bounds = {
  ...BOUNDS,
  drainMs: Infinity,
  evacuationMs: Infinity,
  coldSlack: Infinity,
};

/** Maximum time until a published version is in force, ms. */
const CONFIG_LIMIT_MS = 2_000;

/** Time between two faults, ms; shorter than most faults, so they overlap. */
const FAULT_GAP_MS = {shortest: 250, spread: 900};

/** Interval of the probes of the version in force at a daemon, ms. */
const PROBE_INTERVAL_MS = 150;

/** Items of one page of the store: a full read takes several. */
const PAGE_SIZE = 4;

/** Options of a run; equal options inject the same faults. */
export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  /** Daemons, each beside one upstream; a multiple of 3. */
  readonly daemons: number;
  readonly requestsPerSecond: number;
  /** Connections with several requests in flight to each daemon. */
  readonly connections: number;
  /** False disables the bounds on time, for machines under unknown load. */
  readonly checksTiming: boolean;
  /** Kinds of faults to inject; by default all. */
  readonly kinds?: readonly string[];
}

/** Result of a run. */
export interface SoakResult {
  readonly violations: readonly string[];
  readonly statuses: ReadonlyMap<number, number>;
  readonly faults: readonly string[];
  /** Largest resident memory of a daemon, MB. */
  readonly largestMb: number;
  /** Directory with the logs of the daemons. */
  readonly dir: string;
}

/** Runs daemon processes under random faults and checks the guarantees. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const dir = mkdtempSync(join(tmpdir(), `berylbend-soak-${options.seed}-`));
  const harness = await startHarness(options, dir);
  // Leaves no process behind when the run is interrupted.
  const killDaemons = (): void => {
    for (const daemon of harness.daemons) daemon.signal('SIGKILL');
  };
  process.once('exit', killDaemons);
  const {daemons, checker, services, random, trafficRandom, now} = harness;
  const stopCopies = checkCopies(harness);
  const stopMemory = checkMemory(daemons, checker);
  let largestMb = 0;
  try {
    await waitUntilReady(harness);
    const stopCustomers = startCustomers(
      daemons,
      services,
      checker,
      options.requestsPerSecond,
      trafficRandom,
      now,
    );
    const stopConnections = startConnections(
      daemons.flatMap(daemon => Array(options.connections).fill(daemon)),
      services,
      checker,
      trafficRandom,
      now,
    );
    const stopProbes = daemons.map(daemon => probeVersions(harness, daemon));
    const endAt = now() + options.seconds * 1_000;
    while (now() < endAt) {
      await delay(FAULT_GAP_MS.shortest + FAULT_GAP_MS.spread * random());
      injectFault(harness);
    }
    await Promise.all(harness.pendingRecoveries);
    await Promise.all([stopCustomers(), stopConnections()]);
    for (const stop of stopProbes) stop();
  } finally {
    stopCopies();
    largestMb = stopMemory();
    await stopHarness(harness);
    process.removeListener('exit', killDaemons);
  }
  const {violations, statuses} = checker;
  return {violations, statuses, faults: harness.faults, largestMb, dir};
}

async function startHarness(
  options: SoakOptions,
  dir: string,
): Promise<Harness> {
  const random = createRandom(options.seed);
  // Draws that depend on the timing of requests would change the faults.
  const trafficRandom = createRandom(~options.seed);
  const startedAt = performance.now();
  const now = () => performance.now() - startedAt;
  const isStable = () => now() > harness.disruptedUntil + RECOVERY_MS;
  const isAtWork = (id: string) =>
    harness.upstreams.some(
      ({atWork}, i) => atWork.has(id) && !harness.daemons[i].isDisrupted(now()),
    );
  const checker = new Checker(
    options.checksTiming ? BOUNDS : UNTIMED_BOUNDS,
    now,
    isStable,
    isAtWork,
  );
  const programArgs = await writeProgram(join(dir, 'program'));
  const store = createFakeStore(PAGE_SIZE);
  // Runs of other processes on the machine may have the same seed.
  const {pid} = process;
  const subnet = `127.${64 + (pid % 128)}.${Math.floor(pid / 128) % 250}`;
  const storeHost = `${subnet}.250`;
  const storeServer = await startStoreServer(
    store,
    storeHost,
    PORTS.app,
    trafficRandom,
  );
  const harness: Harness = {
    ...{store, storeServer, checker, random, trafficRandom, now},
    ...{daemons: [], upstreams: [], storeProxies: [], appProxies: []},
    ...{faults: [], pendingRecoveries: new Set(), services: new Map()},
    disruptedUntil: -Infinity,
    version: 0,
    publishedAt: 0,
    configLimitMs: options.checksTiming ? CONFIG_LIMIT_MS : Infinity,
    kinds: options.kinds ?? Object.keys(FAULTS),
  };
  publish(harness);
  for (let i = 0; i < options.daemons; i++) {
    const host = `${subnet}.${i + 1}`;
    const zone = ZONES[i % 3];
    const service = i % 6 < 3 ? 'a' : 'b';
    const upstream = new Upstream(
      ...([`u${i}`, service, zone, host, PORTS.app, PORTS.appProxy] as const),
      ...([store, checker, trafficRandom, now] as const),
    );
    await upstream.start();
    harness.upstreams.push(upstream);
    const getAppAddress = () => ({host, port: PORTS.app});
    harness.appProxies.push(
      await startFaultProxy(host, PORTS.appProxy, getAppAddress),
    );
    const getStoreAddress = () => ({host: storeHost, port: PORTS.app});
    harness.storeProxies.push(
      await startFaultProxy(host, PORTS.storeProxy, getStoreAddress),
    );
    const seeds = ZONES.map((_, z) => `${subnet}.${z + 1}:${PORTS.control}`);
    const settings = createDaemonSettings(`d${i}`, host, zone, service, seeds);
    const daemon = new Daemon(`d${i}`, host, dir, settings, programArgs);
    daemon.onOwnEnd = end => checker.reportOwnEnd(daemon.name, end);
    harness.daemons.push(daemon);
    harness.services.set(daemon.name, service);
  }
  for (const daemon of harness.daemons) daemon.start();
  return harness;
}

/** Probes a daemon for the newest version; returns a stop function. */
function probeVersions(harness: Harness, daemon: Daemon): () => void {
  const {checker, services, now} = harness;
  let newest = {incarnation: 0, version: 0};
  let probeCount = 0;
  const probe = async (): Promise<void> => {
    const {version, publishedAt} = harness;
    const {incarnation} = daemon;
    const startedAt = now();
    if (!daemon.running) return;
    const id = `p-${daemon.name}-${++probeCount}`;
    const request = {id, path: `/v${version}/1`, body: ''};
    const caller = services.get(daemon.name) ?? '';
    const sent = {...request, idempotent: true, caller};
    checker.recordSent(sent, ROUTE_TIMEOUT_MS);
    const {status} = await sendRequest(daemon, false, request);
    if (daemon.incarnation !== incarnation || status === 0) return;
    // Versions published in the meantime may have removed the route.
    if (harness.version >= version + ROUTED_VERSIONS) return;
    if (newest.incarnation !== incarnation) newest = {incarnation, version: 0};
    const recoveredAt =
      Math.max(daemon.disruptedAt, harness.disruptedUntil) + RECOVERY_MS;
    if (status !== 404) {
      if (status === 200) newest.version = Math.max(newest.version, version);
    } else if (newest.version >= version) {
      checker.reportRollback(daemon.name, version - 1, newest.version);
    } else if (
      startedAt > Math.max(publishedAt + harness.configLimitMs, recoveredAt)
    ) {
      checker.reportOutdated(daemon.name, newest.version, version);
    }
  };
  const timer = setInterval(() => void probe(), PROBE_INTERVAL_MS);
  return () => clearInterval(timer);
}

function injectFault(harness: Harness): void {
  const kind = pickFrom(harness, harness.kinds);
  const detail = FAULTS[kind](harness);
  if (detail === undefined) return;
  const at = (harness.now() / 1_000).toFixed(2);
  harness.faults.push(`${at} s ${kind}: ${detail}`);
}

async function stopHarness(harness: Harness): Promise<void> {
  for (const daemon of harness.daemons) daemon.signal('SIGKILL');
  await Promise.all(harness.daemons.map(daemon => daemon.waitForExit()));
  for (const proxy of [...harness.storeProxies, ...harness.appProxies]) {
    await proxy.close();
  }
  for (const upstream of harness.upstreams) await upstream.crash();
  await harness.storeServer.close();
}

/** Returns the log lines of the daemons that contain a word. */
export function findLogLines(
  dir: string,
  daemonNames: string[],
  word: string,
): string[] {
  return daemonNames.flatMap(name =>
    readFileSync(join(dir, `${name}.log`), 'utf8')
      .split('\n')
      .filter(line => line.includes(word))
      .map(line => `${name} ${line}`),
  );
}
