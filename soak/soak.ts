import {mkdtempSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom} from '../src/internal.js';
import {createFakeStore, type FakeStore} from '../standins/kv_store.js';
import {send, startCustomers} from './customers.js';
import {Daemon, describeDaemon, PORTS} from './daemons.js';
import {type Bounds, Judge} from './judge.js';
import {type Link, type LinkMode, openLink} from './proxy.js';
import {serveStore, type StoreMode, type StoreServer} from './store_server.js';
import {COLD_PER_S, Upstream} from './upstream.js';

/** Bounds of the pages; the daemons read the same from their settings. */
const BOUNDS: Bounds = {
  drainMs: 2_000,
  evacMs: 5_000,
  coldOver: 1.5,
  coldSlack: 5,
  resendRatio: 0.2,
  resendSlack: 20,
  resendWindowMs: 10_000,
};

/** Bounds without those on time. */
const UNTIMED: Bounds = {
  ...BOUNDS,
  drainMs: Infinity,
  evacMs: Infinity,
  coldSlack: Infinity,
};

/** Time for which the store must be sound before its bounds hold, ms. */
const TOUCH_MS = 3_000;

/** Time until a published version must be in force, ms. */
const CONFIG_MS = 2_000;

/** Newest versions that each have a route of their own. */
const ROUTE_VERSIONS = 3;

/** Time between two faults, ms; faults last longer and so overlap. */
const FAULT_GAP_MS = {shortest: 250, spread: 900};

/** Time between two probes of the version in force at a daemon, ms. */
const PROBE_MS = 150;

/** Time until all daemons must be ready after the start, ms. */
const READY_MS = 20_000;

const ZONES = ['z1', 'z2', 'z3'];

/** What a run is made from; equal options inject the same faults. */
export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  /** Daemons, each beside one upstream; a multiple of 3. */
  readonly daemons: number;
  readonly perSecond: number;
  /** False leaves out the bounds on time, for machines under unknown load. */
  readonly timed: boolean;
}

/** End of a run. */
export interface SoakResult {
  readonly broken: readonly string[];
  readonly statuses: ReadonlyMap<number, number>;
  readonly faults: readonly string[];
  /** Folder with the logs of the daemons. */
  readonly dir: string;
}

interface World {
  readonly store: FakeStore;
  readonly storeServer: StoreServer;
  readonly daemons: Daemon[];
  readonly upstreams: Upstream[];
  readonly storeLinks: Link[];
  readonly appLinks: Link[];
  readonly judge: Judge;
  readonly random: () => number;
  readonly now: () => number;
  /** Monotonic time of the newest disruption of the store or a way to it. */
  unstableUntil: number;
  version: number;
  versionAt: number;
  /** Time until a published version must be in force, ms. */
  readonly configMs: number;
  readonly faults: string[];
  readonly pending: Set<Promise<void>>;
}

/** Runs the real programs under random faults and checks the promises. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const dir = mkdtempSync(join(tmpdir(), `berylbend-soak-${options.seed}-`));
  const world = await startWorld(options, dir);
  // An interrupted run leaves no process behind.
  const abandon = (): void => {
    for (const daemon of world.daemons) daemon.signal('SIGKILL');
  };
  process.once('exit', abandon);
  const {daemons, judge, upstreams, random, now} = world;
  try {
    await waitReady(world);
    const services = new Map(
      daemons.map(({name}, i) => [name, upstreams[i].service]),
    );
    const stopCustomers = startCustomers(
      daemons,
      services,
      judge,
      options.perSecond,
      random,
      now,
    );
    const probes = daemons.map((daemon, i) =>
      probeVersions(world, daemon, upstreams[i].service),
    );
    const endAt = now() + options.seconds * 1_000;
    while (now() < endAt) {
      await delay(FAULT_GAP_MS.shortest + FAULT_GAP_MS.spread * random());
      injectFault(world);
    }
    await Promise.all(world.pending);
    await stopCustomers();
    for (const stop of probes) stop();
  } finally {
    await stopWorld(world);
    process.removeListener('exit', abandon);
  }
  const {broken, statuses} = judge;
  return {broken, statuses, faults: world.faults, dir};
}

async function startWorld(options: SoakOptions, dir: string): Promise<World> {
  const random = createRandom(options.seed);
  const startedAt = performance.now();
  const now = () => performance.now() - startedAt;
  const isStable = () => now() > world.unstableUntil + TOUCH_MS;
  const judge = new Judge(options.timed ? BOUNDS : UNTIMED, now, isStable);
  const store = createFakeStore();
  const net = `127.${64 + (process.pid % 128)}.${options.seed % 250}`;
  const storeHost = `${net}.250`;
  const storeServer = await serveStore(store, storeHost, PORTS.app, random);
  const world: World = {
    ...{store, storeServer, judge, random, now},
    ...{daemons: [], upstreams: [], storeLinks: [], appLinks: []},
    ...{faults: [], pending: new Set()},
    unstableUntil: -Infinity,
    version: 0,
    versionAt: 0,
    configMs: options.timed ? CONFIG_MS : Infinity,
  };
  publish(world);
  for (let i = 0; i < options.daemons; i++) {
    const host = `${net}.${i + 1}`;
    const zone = ZONES[i % 3];
    const service = i % 6 < 3 ? 'a' : 'b';
    const upstream = new Upstream(
      ...([`u${i}`, service, zone, host, PORTS.app, PORTS.appLink] as const),
      ...([store, judge, random, now] as const),
    );
    await upstream.start();
    world.upstreams.push(upstream);
    const app = () => ({host, port: PORTS.app});
    world.appLinks.push(await openLink(host, PORTS.appLink, app));
    const storeAt = () => ({host: storeHost, port: PORTS.app});
    world.storeLinks.push(await openLink(host, PORTS.storeLink, storeAt));
    const seeds = ZONES.map((_, z) => `${net}.${z + 1}:${PORTS.control}`);
    const settings = describeDaemon(`d${i}`, host, zone, service, seeds);
    world.daemons.push(new Daemon(`d${i}`, host, dir, settings));
  }
  for (const daemon of world.daemons) daemon.start();
  return world;
}

async function waitReady({daemons, now}: World): Promise<void> {
  const endAt = now() + READY_MS;
  for (const {host, name} of daemons) {
    for (;;) {
      const url = `http://${host}:${PORTS.ready}/api/ready`;
      const ready = await fetch(url).then(
        res => res.ok,
        () => false,
      );
      if (ready) break;
      if (now() > endAt) throw new Error(`${name} is not ready`);
      await delay(50);
    }
  }
}

/** Publishes a version; its own route shows where it is in force. */
function publish(world: World): void {
  const version = ++world.version;
  world.versionAt = world.now();
  const make = (name: string, kind: string, service: string) => ({
    ...{name, kind, service, host: 'shop.example', path_prefix: `/${name}/`},
    ...{timeout: '900ms', goal: '300ms', attempts: 2},
    priority: kind === 'idempotent' ? 2 : 1,
  });
  const routes = ['a', 'b'].flatMap(service => [
    make(`read-${service}`, 'idempotent', service),
    make(`book-${service}`, 'non_idempotent', service),
  ]);
  for (let v = Math.max(1, version - ROUTE_VERSIONS + 1); v <= version; v++) {
    routes.push(make(`v${v}`, 'idempotent', v % 2 ? 'a' : 'b'));
  }
  const services = ['a', 'b'].map(name => ({
    ...{name, health_path: '/healthz', max_conns: 100},
    ...{cold: '2s', cold_per_s: COLD_PER_S},
  }));
  const limits = {
    ...{max_header_bytes: 16_384, max_body_bytes: 1_000_000},
    ...{header_timeout: '3s', idle_timeout: '15s'},
  };
  const text = version.toString(16).padStart(8, '0');
  world.store.put('op/config', {version: text, routes, services, limits});
}

/** Asks a daemon for the newest version's route, again and again. */
function probeVersions(
  world: World,
  daemon: Daemon,
  service: string,
): () => void {
  const {judge, now} = world;
  let known = {boot: 0, version: 0};
  let asked = 0;
  const probe = async (): Promise<void> => {
    const {version, versionAt} = world;
    const {boot} = daemon;
    const startedAt = now();
    if (!daemon.running) return;
    const id = `p-${daemon.name}-${++asked}`;
    const request = {id, path: `/v${version}/1`, body: ''};
    judge.noteSent({...request, repeatable: true, caller: service});
    const {status} = await send(daemon, false, request);
    if (daemon.boot !== boot || status === 0) return;
    // Versions published meanwhile may have dropped the route again.
    if (world.version >= version + ROUTE_VERSIONS) return;
    if (known.boot !== boot) known = {boot, version: 0};
    const calmAt = Math.max(daemon.disturbedAt, world.unstableUntil) + TOUCH_MS;
    if (status !== 404) {
      if (status === 200) known.version = Math.max(known.version, version);
    } else if (known.version >= version) {
      judge.noteOlder(daemon.name, version - 1, known.version);
    } else if (startedAt > Math.max(versionAt + world.configMs, calmAt)) {
      judge.noteBehind(daemon.name, known.version, version);
    }
  };
  const timer = setInterval(() => void probe(), PROBE_MS);
  return () => clearInterval(timer);
}

/** A fault: what it does, and for how long it lasts. */
type Fault = (world: World) => string | undefined;

function pick<T>({random}: World, list: readonly T[]): T {
  return list[Math.floor(random() * list.length)];
}

/** Runs the rest of a fault; the run ends only after it. */
function later(world: World, act: () => Promise<void>): void {
  const running = act().finally(() => world.pending.delete(running));
  world.pending.add(running);
}

function pickRunning(world: World): Daemon | undefined {
  const running = world.daemons.filter(daemon => daemon.running);
  // Others have to be left to serve.
  return running.length > world.daemons.length / 2
    ? pick(world, running)
    : undefined;
}

function disturb(world: World, daemon: Daemon): void {
  daemon.disturbedAt = world.now();
}

function killDaemon(world: World, daemon: Daemon): void {
  disturb(world, daemon);
  daemon.signal('SIGKILL');
  later(world, async () => {
    await daemon.ended();
    await delay(300);
    daemon.start();
    disturb(world, daemon);
  });
}

function faultStore(world: World, mode: StoreMode): string {
  const ms = 500 + 2_500 * world.random();
  world.storeServer.mode = mode;
  world.unstableUntil = world.now() + ms;
  later(world, async () => {
    await delay(ms);
    world.storeServer.mode = 'sound';
    world.unstableUntil = Math.max(world.unstableUntil, world.now());
  });
  return `${mode} for ${Math.round(ms)} ms`;
}

function faultLink(
  world: World,
  i: number,
  link: Link,
  mode: LinkMode,
): string {
  const ms = 300 + 2_500 * world.random();
  const daemon = world.daemons[i];
  link.mode = mode;
  daemon.disturbedAt = world.now() + ms;
  later(world, async () => {
    await delay(ms);
    link.mode = 'pass';
    disturb(world, daemon);
  });
  return `${daemon.name} ${mode} for ${Math.round(ms)} ms`;
}

function pickUpstream(world: World): Upstream | undefined {
  const free = world.upstreams.filter(({id}) => !busy.has(id));
  // One of each service at least is left in peace.
  return free.length > world.upstreams.length - 2
    ? pick(world, free)
    : undefined;
}

/** Upstreams that are ending. */
const busy = new Set<string>();

function endUpstream(
  world: World,
  upstream: Upstream,
  noticeMs: number,
  awayMs: number,
): void {
  const {id} = upstream;
  busy.add(id);
  if (noticeMs > 0) upstream.drain();
  later(world, async () => {
    await delay(noticeMs);
    await upstream.crash();
    await delay(awayMs);
    upstream.lapse();
    await upstream.start();
    busy.delete(id);
  });
}

const FAULTS: Record<string, Fault> = {
  term(world) {
    const daemon = pickRunning(world);
    if (!daemon) return undefined;
    daemon.signal('SIGTERM');
    later(world, async () => {
      const code = await daemon.ended();
      if (code !== 0 && code !== null) {
        world.judge.broken.push(`${daemon.name} ended with ${code}`);
      }
      daemon.start();
      disturb(world, daemon);
    });
    return daemon.name;
  },
  kill(world) {
    const daemon = pickRunning(world);
    if (daemon) killDaemon(world, daemon);
    return daemon?.name;
  },
  herdKill(world) {
    const half = world.daemons.filter(
      (daemon, i) => i % 2 === 0 && daemon.running,
    );
    for (const daemon of half) killDaemon(world, daemon);
    return half.map(({name}) => name).join();
  },
  pause(world) {
    const daemon = pickRunning(world);
    if (!daemon) return undefined;
    const ms = 200 + 2_000 * world.random();
    daemon.disturbedAt = world.now() + ms;
    daemon.signal('SIGSTOP');
    later(world, async () => {
      await delay(ms);
      daemon.signal('SIGCONT');
      disturb(world, daemon);
    });
    return `${daemon.name} for ${Math.round(ms)} ms`;
  },
  reload(world) {
    const daemon = pickRunning(world);
    daemon?.signal('SIGHUP');
    return daemon?.name;
  },
  storeDown: world => faultStore(world, 'down'),
  storeSlow: world => faultStore(world, 'slow'),
  storeLossy: world => faultStore(world, 'lossy'),
  storeForgets(world) {
    world.store.compact();
    return 'history';
  },
  storeLink(world) {
    const i = Math.floor(world.random() * world.daemons.length);
    const modes: LinkMode[] = ['mute', 'silent', 'reset', 'delay'];
    return faultLink(world, i, world.storeLinks[i], pick(world, modes));
  },
  appLink(world) {
    const i = Math.floor(world.random() * world.daemons.length);
    const mode = pick<LinkMode>(world, ['reset', 'delay']);
    return faultLink(world, i, world.appLinks[i], mode);
  },
  lostAnswers(world) {
    const upstream = pick(world, world.upstreams);
    upstream.losing = true;
    later(world, async () => {
      await delay(2_000);
      upstream.losing = false;
    });
    return upstream.name;
  },
  crash(world) {
    const upstream = pickUpstream(world);
    if (upstream) endUpstream(world, upstream, 0, 2_000);
    return upstream?.name;
  },
  drain(world) {
    const upstream = pickUpstream(world);
    if (upstream) endUpstream(world, upstream, BOUNDS.drainMs + 1_000, 200);
    return upstream?.name;
  },
  takeOut(world) {
    const zone = pick(world, ZONES);
    const inside = world.upstreams.filter(upstream => upstream.zone === zone);
    if (world.upstreams.some(({evacuatedAt}) => evacuatedAt !== undefined)) {
      return undefined;
    }
    world.store.put(`op/evacuate/${zone}`, {});
    for (const upstream of inside) upstream.evacuatedAt = world.now();
    later(world, async () => {
      await delay(6_000);
      for (const upstream of inside) upstream.evacuatedAt = undefined;
      world.store.remove(`op/evacuate/${zone}`);
    });
    return zone;
  },
  config(world) {
    publish(world);
    return `version ${world.version}`;
  },
  storm(world) {
    later(world, async () => {
      for (let i = 0; i < 5; i++) {
        publish(world);
        await delay(200);
      }
    });
    return 'five versions';
  },
};

function injectFault(world: World): void {
  const kind = pick(world, Object.keys(FAULTS));
  const detail = FAULTS[kind](world);
  if (detail === undefined) return;
  const at = (world.now() / 1_000).toFixed(2);
  world.faults.push(`${at} s ${kind}: ${detail}`);
}

async function stopWorld(world: World): Promise<void> {
  for (const daemon of world.daemons) daemon.signal('SIGKILL');
  await Promise.all(world.daemons.map(daemon => daemon.ended()));
  for (const link of [...world.storeLinks, ...world.appLinks]) {
    await link.close();
  }
  for (const upstream of world.upstreams) await upstream.crash();
  await world.storeServer.close();
}

/** Lines of the daemons' logs that hold one of the words. */
export function findLines(
  dir: string,
  names: string[],
  word: string,
): string[] {
  return names.flatMap(name =>
    readFileSync(join(dir, `${name}.log`), 'utf8')
      .split('\n')
      .filter(line => line.includes(word))
      .map(line => `${name} ${line}`),
  );
}
