import {setTimeout as delay} from 'node:timers/promises';
import type {FakeStore} from '../standins/kv_store.js';
import type {Bounds, Checker} from './checker.js';
import {ROUTE_TIMEOUT_MS} from './customers.js';
import {type Daemon, PORTS} from './daemons.js';
import type {FaultProxy} from './proxy.js';
import type {StoreServer} from './store_server.js';
import {COLD_PER_S, type Upstream} from './upstream.js';

/** Documented bounds; the settings of the daemons hold the same values. */
export const BOUNDS: Bounds = {
  drainMs: 2_000,
  evacuationMs: 5_000,
  coldRateFactor: 1.5,
  coldSlack: 5,
  resendRatio: 0.2,
  resendSlack: 20,
  resendWindowMs: 10_000,
};

/** Number of newest versions that each have a route of their own. */
export const ROUTED_VERSIONS = 3;

/** Times of the routes with large answers, ms; a busy machine passes on few of them
 * in a second. */
export const LARGE_ROUTE = {timeoutMs: 8_000, goalMs: 4_000};

/** Time from the end of a stopped daemon to its start, ms; the customers see the
 * end of its connections before. */
export const RESTART_DELAY_MS = 100;

/** Maximum time until a daemon is ready after its start, ms. */
const READY_LIMIT_MS = 20_000;

/** Interval of the readiness checks, ms. */
const READY_INTERVAL_MS = 50;

/** Maximum time until a daemon ends after SIGTERM, ms: the grace time of 6 s, and
 * more for a busy machine. */
const STOP_LIMIT_MS = 20_000;

/** State of a run, shared by its faults and checks. */
export interface Harness {
  readonly store: FakeStore;
  readonly storeServer: StoreServer;
  readonly daemons: Daemon[];
  readonly upstreams: Upstream[];
  readonly storeProxies: FaultProxy[];
  readonly appProxies: FaultProxy[];
  /** Services in the settings of the daemons, by name. */
  readonly services: Map<string, string>;
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

/** Publishes a version with its own route, which probes request. */
export function publish(harness: Harness): void {
  harness.version++;
  harness.publishedAt = harness.now();
  publishAgain(harness);
}

/** Writes the newest version once more. */
export function publishAgain({store, version}: Harness): void {
  const createRoute = (name: string, kind: string, service: string) => ({
    ...{name, kind, service, host: 'shop.example', path_prefix: `/${name}/`},
    ...{timeout: `${ROUTE_TIMEOUT_MS}ms`, goal: '300ms', attempts: 2},
    priority: kind === 'idempotent' ? 2 : 1,
  });
  const routes = ['a', 'b'].flatMap(service => [
    {
      ...createRoute(`large-${service}`, 'idempotent', service),
      timeout: `${LARGE_ROUTE.timeoutMs}ms`,
      goal: `${LARGE_ROUTE.goalMs}ms`,
    },
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
  store.put('op/config', {
    version: versionText,
    routes,
    services,
    limits,
  });
}

/** Injects a fault; returns a description, or undefined if not possible. */
export type Fault = (harness: Harness) => string | undefined;

/** Identifiers of the incarnations of upstreams that are being restarted. */
export const restartingIds = new Set<string>();

/** Chooses an element of a list. */
export function pickFrom<T>({random}: Harness, list: readonly T[]): T {
  return list[Math.floor(random() * list.length)];
}

/** Runs the recovery from a fault; the run waits for it before it ends. */
export function runRecovery(
  harness: Harness,
  recover: () => Promise<void>,
): void {
  const recovery = recover().finally(() =>
    harness.pendingRecoveries.delete(recovery),
  );
  harness.pendingRecoveries.add(recovery);
}

/** Chooses a daemon that runs; undefined when too few do. */
export function pickRunningDaemon(harness: Harness): Daemon | undefined {
  const running = harness.daemons.filter(daemon => daemon.running);
  // Keeps at least half of the daemons running.
  return running.length > harness.daemons.length / 2
    ? pickFrom(harness, running)
    : undefined;
}

/** Records that a daemon is disrupted now. */
export function markDisrupted(harness: Harness, daemon: Daemon): void {
  daemon.disruptedAt = harness.now();
}

/** Kills a daemon and starts it again. */
export function killDaemon(harness: Harness, daemon: Daemon): void {
  markDisrupted(harness, daemon);
  daemon.signal('SIGKILL');
  runRecovery(harness, async () => {
    await daemon.waitForExit();
    await delay(300);
    restartDaemon(harness, daemon);
  });
}

/** Stops a daemon as planned and starts it again. */
export function stopDaemon(harness: Harness, daemon: Daemon): void {
  daemon.signal('SIGTERM');
  runRecovery(harness, async () => {
    await waitForStop(harness, daemon);
    await delay(RESTART_DELAY_MS);
    restartDaemon(harness, daemon);
  });
}

/** Starts a daemon that ended, unless another fault's recovery already did. */
export function restartDaemon(harness: Harness, daemon: Daemon): void {
  daemon.start();
  markDisrupted(harness, daemon);
}

/** Waits until a daemon that got SIGTERM has ended; one that does not end, as if
 * the signal were lost, is reported and killed. */
export async function waitForStop(
  {checker}: Harness,
  daemon: Daemon,
): Promise<void> {
  const {incarnation} = daemon;
  const timeout = new AbortController();
  const limit = delay(STOP_LIMIT_MS, undefined, {signal: timeout.signal}).then(
    () => {
      // Another fault may have restarted it.
      if (daemon.incarnation !== incarnation) return;
      checker.reportStuck(daemon.name, 'did not stop');
      daemon.signal('SIGKILL');
    },
    () => {},
  );
  await daemon.waitForExit();
  timeout.abort();
  await limit;
}

/** Waits until a started daemon is ready, and reports one that does not become so
 * while neither it nor the store is disrupted. */
export async function expectReady(
  harness: Harness,
  daemon: Daemon,
): Promise<void> {
  const {checker, now} = harness;
  const {incarnation} = daemon;
  const startedAt = now();
  // Other faults may stop or restart it, and then look after it.
  while (
    daemon.running &&
    !daemon.isStopping &&
    daemon.incarnation === incarnation
  ) {
    if (await isReady(daemon)) return;
    const since = Math.max(
      startedAt,
      daemon.disruptedAt,
      harness.disruptedUntil,
    );
    if (now() > since + READY_LIMIT_MS) {
      return checker.reportStuck(daemon.name, 'did not start');
    }
    await delay(READY_INTERVAL_MS);
  }
}

/** Waits until all daemons are ready after the start; rejects if one is not. */
export async function waitUntilReady({daemons, now}: Harness): Promise<void> {
  const endAt = now() + READY_LIMIT_MS;
  for (const daemon of daemons) {
    while (!(await isReady(daemon))) {
      if (now() > endAt) throw new Error(`${daemon.name} is not ready`);
      await delay(READY_INTERVAL_MS);
    }
  }
}

function isReady({host}: Daemon): Promise<boolean> {
  return fetch(`http://${host}:${PORTS.ready}/api/ready`).then(
    res => res.ok,
    () => false,
  );
}

/** Chooses an upstream that may leave; undefined when another one is doing so. */
export function pickUpstream(harness: Harness): Upstream | undefined {
  const available = harness.upstreams.filter(({id}) => !restartingIds.has(id));
  // Keeps at least one upstream of each service running.
  return available.length > harness.upstreams.length - 2
    ? pickFrom(harness, available)
    : undefined;
}

/** Time from the cut of a watch to a silent leave, ms. */
const SILENT_LEAVE_MS = 100;

/** Lets an upstream leave, with or without word of it, and starts its next
 * incarnation `downMs` after its end. */
export function restartUpstream(
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
