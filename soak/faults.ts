import {setTimeout as delay} from 'node:timers/promises';
import type {Daemon} from './daemons.js';
import {BOUNDS} from './judge.js';
import type {Link, LinkMode} from './proxy.js';
import type {StoreMode} from './store_server.js';
import type {Upstream} from './upstream.js';
import {publish, type World, ZONES} from './world.js';

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
    for (const upstream of world.upstreams) upstream.losing = true;
    later(world, async () => {
      await delay(2_000);
      for (const upstream of world.upstreams) upstream.losing = false;
    });
    return 'at all upstreams';
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

/** Injects one fault at random, if one of its kind fits at the moment. */
export function injectFault(world: World): void {
  const kind = pick(world, Object.keys(FAULTS));
  const detail = FAULTS[kind](world);
  if (detail === undefined) return;
  const at = (world.now() / 1_000).toFixed(2);
  world.faults.push(`${at} s ${kind}: ${detail}`);
}
