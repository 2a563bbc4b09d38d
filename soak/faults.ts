import {setTimeout as delay} from 'node:timers/promises';
import {ROUTE_TIMEOUT_MS, sendRequest} from './customers.js';
import {cutAnswers} from './cut_answers.js';
import {RECOVERY_MS} from './daemons.js';
import {
  BOUNDS,
  type Fault,
  type Harness,
  killDaemon,
  markDisrupted,
  pickFrom,
  pickRunningDaemon,
  pickUpstream,
  restartingIds,
  restartUpstream,
  publish,
  runRecovery,
  stopDaemon,
} from './harness.js';
import {LOAD_FAULTS} from './load_faults.js';
import type {FaultProxy, ProxyMode} from './proxy.js';
import {RESTART_FAULTS} from './restart_faults.js';
import {slowReaders} from './slow_readers.js';
import {START_FAULTS} from './start_faults.js';
import {storeDrill} from './store_drill.js';
import type {StoreMode} from './store_server.js';
import type {Spoiling, Upstream} from './upstream.js';

/** Time for which copies are checked once the daemons count as recovered from the
 * last outage, ms. */
const CHECKED_MS = 1_000;

/** Data centres of the daemons. */
export const ZONES = ['z1', 'z2', 'z3'];

/** Share of planned stops that affect several daemons. */
const GROUP_STOP_SHARE = 0.3;

function injectStoreFault(harness: Harness, mode: StoreMode): string {
  const ms = 500 + 2_500 * harness.random();
  const {storeServer} = harness;
  const endsAt = harness.now() + ms;
  // An outage in which an upstream turns cold is not replaced.
  if (storeServer.modeEndsAt < Infinity) {
    storeServer.mode = mode;
    storeServer.modeEndsAt = endsAt;
  }
  harness.disruptedUntil = endsAt;
  runRecovery(harness, async () => {
    await delay(ms);
    // A later fault of the store lasts on.
    if (storeServer.modeEndsAt === endsAt) storeServer.mode = 'sound';
    harness.disruptedUntil = Math.max(harness.disruptedUntil, harness.now());
  });
  return `${mode} for ${Math.round(ms)} ms`;
}

/** Time from the beginning of an outage until an upstream turns cold, ms; the copies
 * of the daemons are old by then. */
const UNHEARD_COLD_MS = 2_000;

/** Interval of the requests to an upstream that turns cold unheard, ms. */
const UNHEARD_REQUEST_MS = 20;

/** Sends reads for the service of an upstream to the daemon beside it, until the
 * returned function is called; it resolves once all are answered. */
function startReads(
  {checker, daemons, upstreams, services, faults, now}: Harness,
  upstream: Upstream,
): () => Promise<void> {
  const daemon = daemons[upstreams.indexOf(upstream)];
  const {service} = upstream;
  const {incarnation} = daemon;
  const fault = faults.length;
  const inFlight: Promise<void>[] = [];
  const timer = setInterval(() => {
    const n = inFlight.length;
    const sent = {
      id: `c${fault}-${n}`,
      path: `/read-${service}/${n}`,
      body: '',
    };
    const caller = services.get(daemon.name) ?? '';
    checker.recordSent({...sent, idempotent: true, caller}, ROUTE_TIMEOUT_MS);
    const answered = sendRequest(daemon, false, sent).then(answer => {
      const isRestarted = daemon.incarnation !== incarnation;
      const isDisrupted = daemon.isDisrupted(now()) || isRestarted;
      checker.recordAnswer(sent.id, answer, isDisrupted);
    });
    inFlight.push(answered);
  }, UNHEARD_REQUEST_MS);
  return async () => {
    clearInterval(timer);
    await Promise.all(inFlight);
  };
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

/** Faults by kind. */
export const FAULTS: Record<string, Fault> = {
  ...START_FAULTS,
  ...LOAD_FAULTS,
  ...RESTART_FAULTS,
  slowReaders,
  cutAnswers,
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
  storeHangs(harness) {
    const fault = injectStoreFault(harness, 'hung');
    const {modeEndsAt} = harness.storeServer;
    if (modeEndsAt === Infinity) return fault;
    // The daemons learn of it by their first calls after the outage only.
    runRecovery(harness, async () => {
      await delay(modeEndsAt - harness.now());
      publish(harness);
      // The run goes on until the copies can be checked after the last outage.
      await delay(RECOVERY_MS + CHECKED_MS);
    });
    return fault;
  },
  storeDrill,
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
  unheardCold(harness) {
    const target = pickUpstream(harness);
    // An earlier outage would end during this one.
    if (!target || harness.storeServer.mode !== 'sound') return undefined;
    const {id} = target;
    harness.storeServer.mode = 'down';
    harness.storeServer.modeEndsAt = Infinity;
    harness.disruptedUntil = Infinity;
    restartingIds.add(id);
    runRecovery(harness, async () => {
      await delay(UNHEARD_COLD_MS);
      const stopReads = startReads(harness, target);
      await delay(target.turnCold());
      harness.storeServer.mode = 'sound';
      harness.storeServer.modeEndsAt = 0;
      harness.disruptedUntil = harness.now();
      await stopReads();
      restartingIds.delete(id);
    });
    return target.name;
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
