import {send} from './customers.js';
import type {Daemon} from './daemons.js';
import {ROUTE_VERSIONS, TOUCH_MS, type World} from './world.js';

/** Time between two probes of the version in force at a daemon, ms. */
const PROBE_MS = 150;

/** Asks a daemon for the newest version's route, again and again. */
export function probeVersions(
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
