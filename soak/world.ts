import {createRandom} from '../src/internal.js';
import {createFakeStore, type FakeStore} from '../standins/kv_store.js';
import {Daemon, describeDaemon, PORTS} from './daemons.js';
import {BOUNDS, Judge, UNTIMED} from './judge.js';
import {type Link, openLink} from './proxy.js';
import {serveStore, type StoreServer} from './store_server.js';
import {setTimeout as delay} from 'node:timers/promises';
import {COLD_PER_S, Upstream} from './upstream.js';

/** Time for which the store must be sound before its bounds hold, ms. */
export const TOUCH_MS = 3_000;

/** Time until a published version must be in force, ms. */
const CONFIG_MS = 2_000;

/** Newest versions that each have a route of their own. */
export const ROUTE_VERSIONS = 3;

/** Time until all daemons must be ready after the start, ms. */
const READY_MS = 20_000;

/** Data centres of the fleet. */
export const ZONES = ['z1', 'z2', 'z3'];

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

/** Everything that runs beside the daemons, and the daemons. */
export interface World {
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

/** Starts store, upstreams, proxies and daemons. */
export async function startWorld(
  options: SoakOptions,
  dir: string,
): Promise<World> {
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

/** Waits until every daemon is ready; rejects when one takes too long. */
export async function waitReady({daemons, now}: World): Promise<void> {
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
export function publish(world: World): void {
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

/** Ends everything that `startWorld` has started. */
export async function stopWorld(world: World): Promise<void> {
  for (const daemon of world.daemons) daemon.signal('SIGKILL');
  await Promise.all(world.daemons.map(daemon => daemon.ended()));
  for (const link of [...world.storeLinks, ...world.appLinks]) {
    await link.close();
  }
  for (const upstream of world.upstreams) await upstream.crash();
  await world.storeServer.close();
}
