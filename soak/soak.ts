import {mkdtempSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom} from '../src/internal.js';
import {createFakeStore, type FakeStore} from '../standins/kv_store.js';
import {startConnections} from './connections.js';
import {checkCopies} from './copies.js';
import {ROUTE_TIMEOUT_MS, sendRequest, startCustomers} from './customers.js';
import {Daemon, createDaemonSettings, PORTS, RECOVERY_MS} from './daemons.js';
import {type Bounds, Checker} from './checker.js';
import {type FaultProxy, type ProxyMode, startFaultProxy} from './proxy.js';
import {
  startStoreServer,
  type StoreMode,
  type StoreServer,
} from './store_server.js';
import {COLD_PER_S, type Spoiling, Upstream} from './upstream.js';

/** Documented bounds; the settings of the daemons hold the same values. */
const BOUNDS: Bounds = {
  drainMs: 2_000,
  evacuationMs: 5_000,
  coldRateFactor: 1.5,
  coldSlack: 5,
  resendRatio: 0.2,
  resendSlack: 20,
  resendWindowMs: 10_000,
};

/** Bounds without limits on time and on the load of cold upstreams. */
const UNTIMED_BOUNDS: Bounds = {
  ...BOUNDS,
  drainMs: Infinity,
  evacuationMs: Infinity,
  coldSlack: Infinity,
};

/** Maximum time until a published version is in force, ms. */
const CONFIG_LIMIT_MS = 2_000;

/** Number of newest versions that each have a route of their own. */
const ROUTED_VERSIONS = 3;

/** Time between two faults, ms; shorter than most faults, so they overlap. */
const FAULT_GAP_MS = {shortest: 250, spread: 900};

/** Interval of the probes of the version in force at a daemon, ms. */
const PROBE_INTERVAL_MS = 150;

/** Share of planned stops that affect several daemons. */
const GROUP_STOP_SHARE = 0.3;

/** Time from the end of a stopped daemon to its start, ms; the customers see the
 * end of its connections before. */
const RESTART_DELAY_MS = 100;

/** Maximum time until all daemons are ready after the start, ms. */
const READY_TIMEOUT_MS = 20_000;

/** Items of one page of the store: a full read takes several. */
const PAGE_SIZE = 4;

const ZONES = ['z1', 'z2', 'z3'];

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
  /** Directory with the logs of the daemons. */
  readonly dir: string;
}

interface Harness {
  readonly store: FakeStore;
  readonly storeServer: StoreServer;
  readonly daemons: Daemon[];
  readonly upstreams: Upstream[];
  readonly storeProxies: FaultProxy[];
  readonly appProxies: FaultProxy[];
  readonly checker: Checker;
  /** Selects the faults. */
  readonly random: () => number;
  /** Selects requests and the answers of store and upstreams. */
  readonly trafficRandom: () => number;
  readonly now: () => number;
  /** Monotonic time until which the store is disrupted, ms. */
  disruptedUntil: number;
  version: number;
  /** Monotonic time of the newest version's publication, ms. */
  publishedAt: number;
  /** Maximum time until a published version is in force, ms. */
  readonly configLimitMs: number;
  readonly kinds: readonly string[];
  readonly faults: string[];
  readonly pendingRecoveries: Set<Promise<void>>;
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
  const {daemons, checker, upstreams, random, trafficRandom, now} = harness;
  const stopCopies = checkCopies(daemons, harness.store, checker, now);
  try {
    await waitUntilReady(harness);
    const services = new Map(
      daemons.map(({name}, i) => [name, upstreams[i].service]),
    );
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
    const stopProbes = daemons.map((daemon, i) =>
      probeVersions(harness, daemon, upstreams[i].service),
    );
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
    await stopHarness(harness);
    process.removeListener('exit', killDaemons);
  }
  const {violations, statuses} = checker;
  return {violations, statuses, faults: harness.faults, dir};
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
  const store = createFakeStore(PAGE_SIZE);
  const subnet = `127.${64 + (process.pid % 128)}.${options.seed % 250}`;
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
    ...{faults: [], pendingRecoveries: new Set()},
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
    const daemon = new Daemon(`d${i}`, host, dir, settings);
    daemon.onOwnEnd = code => checker.reportOwnEnd(daemon.name, code);
    harness.daemons.push(daemon);
  }
  for (const daemon of harness.daemons) daemon.start();
  return harness;
}

async function waitUntilReady({daemons, now}: Harness): Promise<void> {
  const endAt = now() + READY_TIMEOUT_MS;
  for (const {host, name} of daemons) {
    for (;;) {
      const url = `http://${host}:${PORTS.ready}/api/ready`;
      const isReady = await fetch(url).then(
        res => res.ok,
        () => false,
      );
      if (isReady) break;
      if (now() > endAt) throw new Error(`${name} is not ready`);
      await delay(50);
    }
  }
}

/** Publishes a version with its own route, which probes request. */
function publish(harness: Harness): void {
  const version = ++harness.version;
  harness.publishedAt = harness.now();
  const createRoute = (name: string, kind: string, service: string) => ({
    ...{name, kind, service, host: 'shop.example', path_prefix: `/${name}/`},
    ...{timeout: `${ROUTE_TIMEOUT_MS}ms`, goal: '300ms', attempts: 2},
    priority: kind === 'idempotent' ? 2 : 1,
  });
  const routes = ['a', 'b'].flatMap(service => [
    createRoute(`read-${service}`, 'idempotent', service),
    createRoute(`book-${service}`, 'non_idempotent', service),
  ]);
  for (let v = Math.max(1, version - ROUTED_VERSIONS + 1); v <= version; v++) {
    routes.push(createRoute(`v${v}`, 'idempotent', v % 2 ? 'a' : 'b'));
  }
  const services = ['a', 'b'].map(name => ({
    ...{name, health_path: '/healthz', max_conns: 100},
    ...{cold: '2s', cold_per_s: COLD_PER_S},
  }));
  const limits = {
    ...{max_header_bytes: 16_384, max_body_bytes: 1_000_000},
    ...{header_timeout: '3s', idle_timeout: '15s'},
  };
  const versionText = version.toString(16).padStart(8, '0');
  harness.store.put('op/config', {
    version: versionText,
    routes,
    services,
    limits,
  });
}

/** Probes a daemon for the newest version; returns a stop function. */
function probeVersions(
  harness: Harness,
  daemon: Daemon,
  service: string,
): () => void {
  const {checker, now} = harness;
  let newest = {incarnation: 0, version: 0};
  let probeCount = 0;
  const probe = async (): Promise<void> => {
    const {version, publishedAt} = harness;
    const {incarnation} = daemon;
    const startedAt = now();
    if (!daemon.running) return;
    const id = `p-${daemon.name}-${++probeCount}`;
    const request = {id, path: `/v${version}/1`, body: ''};
    const sent = {...request, idempotent: true, caller: service};
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

/** Injects a fault; returns a description, or undefined if not possible. */
type Fault = (harness: Harness) => string | undefined;

function pickFrom<T>({random}: Harness, list: readonly T[]): T {
  return list[Math.floor(random() * list.length)];
}

/** Runs the recovery from a fault; the run waits for it before it ends. */
function runRecovery(harness: Harness, recover: () => Promise<void>): void {
  const recovery = recover().finally(() =>
    harness.pendingRecoveries.delete(recovery),
  );
  harness.pendingRecoveries.add(recovery);
}

function pickRunningDaemon(harness: Harness): Daemon | undefined {
  const running = harness.daemons.filter(daemon => daemon.running);
  // Keeps at least half of the daemons running.
  return running.length > harness.daemons.length / 2
    ? pickFrom(harness, running)
    : undefined;
}

function markDisrupted(harness: Harness, daemon: Daemon): void {
  daemon.disruptedAt = harness.now();
}

function killDaemon(harness: Harness, daemon: Daemon): void {
  markDisrupted(harness, daemon);
  daemon.signal('SIGKILL');
  runRecovery(harness, async () => {
    await daemon.waitForExit();
    await delay(300);
    daemon.start();
    markDisrupted(harness, daemon);
  });
}

function stopDaemon(harness: Harness, daemon: Daemon): void {
  daemon.signal('SIGTERM');
  runRecovery(harness, async () => {
    const code = await daemon.waitForExit();
    if (code !== 0 && code !== null) {
      harness.checker.violations.push(
        `${daemon.name} exited with code ${code}`,
      );
    }
    await delay(RESTART_DELAY_MS);
    daemon.start();
    markDisrupted(harness, daemon);
  });
}

function injectStoreFault(harness: Harness, mode: StoreMode): string {
  const ms = 500 + 2_500 * harness.random();
  harness.storeServer.mode = mode;
  harness.disruptedUntil = harness.now() + ms;
  runRecovery(harness, async () => {
    await delay(ms);
    harness.storeServer.mode = 'sound';
    harness.disruptedUntil = Math.max(harness.disruptedUntil, harness.now());
  });
  return `${mode} for ${Math.round(ms)} ms`;
}

function injectProxyFault(
  harness: Harness,
  index: number,
  proxy: FaultProxy,
  mode: ProxyMode,
): string {
  const ms = 300 + 2_500 * harness.random();
  const daemon = harness.daemons[index];
  proxy.mode = mode;
  daemon.disruptedAt = harness.now() + ms;
  runRecovery(harness, async () => {
    await delay(ms);
    proxy.mode = 'pass';
    markDisrupted(harness, daemon);
  });
  return `${daemon.name} ${mode} for ${Math.round(ms)} ms`;
}

function pickUpstream(harness: Harness): Upstream | undefined {
  const available = harness.upstreams.filter(({id}) => !restartingIds.has(id));
  // Keeps at least one upstream of each service running.
  return available.length > harness.upstreams.length - 2
    ? pickFrom(harness, available)
    : undefined;
}

/** Time from the cut of a watch to a silent leave, ms. */
const SILENT_LEAVE_MS = 100;

/** Spoils answers of an upstream for a while. */
function spoilAnswers(harness: Harness, spoiling: Spoiling): string {
  const upstream = pickFrom(harness, harness.upstreams);
  upstream.spoils = spoiling;
  runRecovery(harness, async () => {
    await delay(2_000);
    upstream.spoils = undefined;
  });
  return upstream.name;
}

/** Identifiers of the incarnations that are being restarted. */
const restartingIds = new Set<string>();

function restartUpstream(
  harness: Harness,
  upstream: Upstream,
  drainMs: number,
  downMs: number,
  isSilent = false,
): void {
  const {id} = upstream;
  restartingIds.add(id);
  if (isSilent) setTimeout(() => upstream.leave(), SILENT_LEAVE_MS);
  else if (drainMs > 0) upstream.drain();
  runRecovery(harness, async () => {
    await delay(drainMs);
    await upstream.crash();
    await delay(downMs);
    upstream.removeRecord();
    await upstream.start();
    restartingIds.delete(id);
  });
}

const FAULTS: Record<string, Fault> = {
  term(harness) {
    const {daemons, random} = harness;
    const count =
      random() < GROUP_STOP_SHARE ? 2 + Math.floor(2 * random()) : 1;
    // One that is stopping already may get a second signal.
    const first = pickRunningDaemon(harness);
    if (!first) return undefined;
    const names = [first.name];
    stopDaemon(harness, first);
    while (names.length < count) {
      const serving = daemons.filter(d => d.running && !d.isStopping);
      // Keeps at least half of the daemons serving.
      if (serving.length <= daemons.length / 2) break;
      const daemon = pickFrom(harness, serving);
      names.push(daemon.name);
      stopDaemon(harness, daemon);
    }
    return names.join();
  },
  kill(harness) {
    const daemon = pickRunningDaemon(harness);
    if (daemon) killDaemon(harness, daemon);
    return daemon?.name;
  },
  herdKill(harness) {
    const selected = harness.daemons.filter(
      (daemon, i) => i % 2 === 0 && daemon.running,
    );
    for (const daemon of selected) killDaemon(harness, daemon);
    return selected.map(({name}) => name).join();
  },
  pause(harness) {
    const daemon = pickRunningDaemon(harness);
    if (!daemon) return undefined;
    const ms = 200 + 2_000 * harness.random();
    daemon.disruptedAt = harness.now() + ms;
    daemon.signal('SIGSTOP');
    runRecovery(harness, async () => {
      await delay(ms);
      daemon.signal('SIGCONT');
      markDisrupted(harness, daemon);
    });
    return `${daemon.name} for ${Math.round(ms)} ms`;
  },
  reload(harness) {
    const daemon = pickRunningDaemon(harness);
    daemon?.signal('SIGHUP');
    return daemon?.name;
  },
  storeDown: harness => injectStoreFault(harness, 'down'),
  storeSlow: harness => injectStoreFault(harness, 'slow'),
  storeLossy: harness => injectStoreFault(harness, 'lossy'),
  splitReads(harness) {
    const {store, storeServer} = harness;
    // A read finds each of these writes on its last page, and may be the only
    // one that they are news to.
    let writes = 0;
    store.onNextPage = () =>
      store.put('zz/last', `${harness.faults.length}/${++writes}`);
    runRecovery(harness, async () => {
      await delay(3_000);
      store.onNextPage = undefined;
    });
    storeServer.cutWatches();
    const daemon = pickRunningDaemon(harness);
    if (daemon) killDaemon(harness, daemon);
    injectStoreFault(harness, 'held');
    return daemon ? `${daemon.name} restarts` : 'no restart';
  },
  storeHeld: harness => injectStoreFault(harness, 'held'),
  storeForgets(harness) {
    harness.store.compact();
    return 'history';
  },
  storeLink(harness) {
    const i = Math.floor(harness.random() * harness.daemons.length);
    const modes: ProxyMode[] = ['mute', 'silent', 'reset', 'delay'];
    return injectProxyFault(
      harness,
      i,
      harness.storeProxies[i],
      pickFrom(harness, modes),
    );
  },
  appLink(harness) {
    const i = Math.floor(harness.random() * harness.daemons.length);
    const mode = pickFrom<ProxyMode>(harness, ['reset', 'delay']);
    return injectProxyFault(harness, i, harness.appProxies[i], mode);
  },
  lostAnswers(harness) {
    const upstream = pickFrom(harness, harness.upstreams);
    upstream.losesAnswers = true;
    runRecovery(harness, async () => {
      await delay(2_000);
      upstream.losesAnswers = false;
    });
    return upstream.name;
  },
  resetAnswers: harness => spoilAnswers(harness, 'reset'),
  strayAnswers: harness => spoilAnswers(harness, 'stray'),
  oddEntries(harness) {
    const keys = ZONES.flatMap((zone, z) =>
      Array.from({length: 7}, (_, i) => {
        const key = `servers/odd-${z}-${i}`;
        harness.store.put(key, {
          // 08 is no number: the padded octets can't be read as octal ones.
          addr: `010.001.00${i}.0${z}8:8301`,
          born: 1_000,
          info: {service: 'exporter', version: 'v1', zone, slots: 6},
          status: {state: 'ready', sequence: 1, cold_left: '0ms'},
        });
        return key;
      }),
    );
    runRecovery(harness, async () => {
      await delay(2_000);
      for (const key of keys) harness.store.remove(key);
    });
    return `${keys.length} entries`;
  },
  cutWatch(harness) {
    const target = pickUpstream(harness);
    if (!target) return undefined;
    harness.storeServer.cutWatches();
    restartUpstream(harness, target, BOUNDS.drainMs + 1_000, 200, true);
    return target.name;
  },
  crash(harness) {
    const target = pickUpstream(harness);
    if (target) restartUpstream(harness, target, 0, 2_000);
    return target?.name;
  },
  drain(harness) {
    const target = pickUpstream(harness);
    if (target) restartUpstream(harness, target, BOUNDS.drainMs + 1_000, 200);
    return target?.name;
  },
  takeOut(harness) {
    const zone = pickFrom(harness, ZONES);
    const inZone = harness.upstreams.filter(upstream => upstream.zone === zone);
    if (harness.upstreams.some(({evacuatedAt}) => evacuatedAt !== undefined)) {
      return undefined;
    }
    harness.store.put(`op/evacuate/${zone}`, {});
    for (const upstream of inZone) upstream.evacuatedAt = harness.now();
    runRecovery(harness, async () => {
      await delay(6_000);
      for (const upstream of inZone) upstream.evacuatedAt = undefined;
      harness.store.remove(`op/evacuate/${zone}`);
    });
    return zone;
  },
  config(harness) {
    publish(harness);
    return `version ${harness.version}`;
  },
  storm(harness) {
    runRecovery(harness, async () => {
      for (let i = 0; i < 5; i++) {
        publish(harness);
        await delay(200);
      }
    });
    return 'five versions';
  },
};

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
