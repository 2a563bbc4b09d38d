import {setTimeout as delay} from 'node:timers/promises';
import {
  type HeaderNames,
  type IsUnchanged,
  type KeyChange,
  type KeyValueStore,
  LAG_WINDOW_MS,
  OVERLOAD_LAG_MS,
  type SidecarSettings,
  type StoreFollower,
  type StorePosition,
  createRandom,
  startStoreFollower,
} from '../internal.js';
import {stopListening} from '../daemon/customer_server.js';
import {recordLatency} from '../daemon/metrics.js';
import {type SidecarBoard, createSidecarBoard, logCopyChange} from './board.js';
import {refreshCrashRecords} from './crash_records.js';
import {CRASH_REPORT_TIMEOUT_MS, createCrashReporter} from './crash_reports.js';
import {type DecisionLog, createDecisionLog} from './decision_log.js';
import {createSidecarEntry} from './entry.js';
import {createHttpClient} from './http_client.js';
import {createPeerHandler, serveControl} from './inbound.js';
import {applyChanges, type DecodeChange, expireBeliefs} from './store_eras.js';
import {applyServices, createSourceHandlers} from './store_updates.js';
import {createSidecarOwner} from './owner.js';
import {MEMORY_CHECK_MS, createMemoryWatch} from './memory_watch.js';
import {
  createStateClient,
  createStorePeers,
  answerOldPolls,
  answerPendingPolls,
} from './peer_state.js';
import {createProbeClient, probeQuietPeers} from './peer_probe.js';
import {
  createQuotaClient,
  createSidecarQuotas,
  refreshQuotas,
} from './quotas.js';
import {
  applyLimits,
  createControlServer,
  createCustomerServer,
  createMetricsServer,
  createPeerServer,
  createReadyServer,
} from './servers.js';
import {closePort, openPort} from './ports.js';
import {readMemoryUse} from './resources.js';
import {randomInt} from 'node:crypto';
import type {Server} from 'node:http';

/** Time after SIGTERM for which new requests are accepted, ms: two readiness
 * checks, one second apart, must fail before customers go elsewhere. */
const DRAIN_NOTICE_MS = 2_500;

/** Share of the grace time that running requests get; the rest is for the
 * process to exit by itself. */
const DRAIN_SHARE = 0.9;

/** Time for the last answers to reach their customers before the exit, ms. */
const EXIT_MARGIN_MS = 100;

/** Interval at which a stopping process checks for running requests, ms. */
const STOP_POLL_MS = 50;

/** Interval of the check of the memory for incomplete heads, ms. */
const HEAD_CHECK_MS = 100;

/** A running sidecar. */
export interface Sidecar {
  readonly board: SidecarBoard;
  /** Starts following the platform's store. */
  follow(store: KeyValueStore): StoreFollower;
  /** Sets what is called before a request gets the name of the service. */
  onStamp(refreshSettings: () => void): void;
  /** Applies a changed service name; other settings stay as at the start. */
  reload(settings: SidecarSettings): void;
  /** Logs that changed settings could not be read; the old ones stay. */
  logReloadFailure(reason: string): void;
  /** Stops gracefully; resolves when the process may end. */
  stop(): Promise<void>;
  /** Closes all ports and connections at once. */
  close(): Promise<void>;
}

/** Dependencies of a sidecar. */
export interface SidecarDeps {
  readonly settings: SidecarSettings;
  readonly names: HeaderNames;
  /** Path of the platform's readiness check. */
  readonly readyPath: string;
  /** Prefix of the store's keys that the daemon follows. */
  readonly prefix: string;
  /** True when a value of a key says the same as the one before. */
  readonly isUnchanged: IsUnchanged;
  readonly decode: DecodeChange;
  readonly log?: DecisionLog;
  /** Ends the wait for ports that can't be bound yet. */
  readonly signal?: AbortSignal;
}

/** Starts a sidecar: opens its ports; `follow` then starts the updates. Rejects
 * when a port can't be opened, with all of them closed. */
export async function startSidecar(deps: SidecarDeps): Promise<Sidecar> {
  const {settings, names} = deps;
  const now = () => performance.now();
  const {id, dataCentre} = settings;
  const log = deps.log ?? createDecisionLog({id, dataCentre, now});
  const random = createRandom(randomInt(2 ** 32));
  const board = createSidecarBoard({
    settings,
    names,
    prefix: deps.prefix,
    isUnchanged: deps.isUnchanged,
    log,
    random,
    now,
  });
  const crashClient = createHttpClient({
    connections: 1,
    connectTimeoutMs: CRASH_REPORT_TIMEOUT_MS,
    keepAliveMs: CRASH_REPORT_TIMEOUT_MS,
  });
  const stateClient = createStateClient();
  const probeClient = createProbeClient();
  const quotaClient = createQuotaClient();
  board.quotas = createSidecarQuotas(board, quotaClient);
  const owner = createSidecarOwner(
    board,
    createCrashReporter(board, crashClient),
  );
  const entry = createSidecarEntry(board, owner);
  const customers = createCustomerServer(board, entry);
  const customerServer = customers.server;
  const peerHandler = createPeerHandler(board, owner);
  const peerServer = createPeerServer(peerHandler);
  const controlServer = createControlServer(board, (req, res) =>
    serveControl(board, owner, req, res),
  );
  const readyServer = createReadyServer(board, deps.readyPath);
  const readLoad = () => ({connections: customers.countOpen()});
  const metricsServer = createMetricsServer(board, readLoad);

  const handleChanges = (
    changes: KeyChange[],
    replaced?: StorePosition,
  ): void => {
    board.list.complete = true;
    if (changes.length === 0 && !replaced) {
      answerOldPolls(board);
      return;
    }
    applyChanges(board, deps.decode, changes, replaced);
    refreshQuotas(board);
    owner.sync();
    applyLimits(customerServer, board);
    refreshCrashRecords(board, crashClient);
    answerPendingPolls(board);
  };
  const servers = [
    customerServer,
    peerServer,
    controlServer,
    readyServer,
    metricsServer,
  ];
  const closing = new AbortController();
  const {signal = closing.signal} = deps;
  const timers: NodeJS.Timeout[] = [];
  const close = async (): Promise<void> => {
    closing.abort();
    timers.forEach(clearInterval);
    for (const server of servers) server.closeAllConnections();
    await Promise.all(servers.map(closePort));
    const clients = [entry, crashClient, stateClient, probeClient, quotaClient];
    await Promise.all(clients.map(client => client.close()));
    await owner.stop();
  };
  const open = async (
    purpose: string,
    server: Server,
    port: number,
    background = false,
  ): Promise<void> => {
    let waited = false;
    const waitedMs = await openPort(server, port, settings.host, {
      background,
      signal: AbortSignal.any([signal, closing.signal]),
      onWait(code, waitedMs) {
        waited = true;
        const fields = {port, purpose, code, waitedMs};
        log.write('notable', 'portUnavailable', fields);
      },
      onAcceptError(code) {
        log.write('notable', 'acceptFailed', {port, purpose, code});
      },
    });
    if (waited) log.write('always', 'portOpened', {port, purpose, waitedMs});
  };
  // No request needs this port, so no start waits for it.
  open('metrics', metricsServer, settings.metricsPort, true).catch(() => {});
  // The port for customers is the last one: a connection is served only once the
  // updates of the store begin, right after all ports are open. The readiness
  // check comes first; it fails until then.
  try {
    await open('ready', readyServer, settings.readyPort);
    await open('control', controlServer, settings.controlPort);
    await open('peer', peerServer, settings.peerPort);
    await open('customer', customerServer, settings.customerPort);
  } catch (err) {
    await close();
    throw err;
  }
  const ticker = setInterval(() => {
    recordLatency(board.metrics, 'loop_lag', board.lag.read());
    logCopyChange(board);
    probeQuietPeers(board, probeClient);
    refreshCrashRecords(board, crashClient);
    if (expireBeliefs(board)) owner.sync();
  }, LAG_WINDOW_MS);
  const readUse = () => readMemoryUse(board, readLoad());
  const checkMemory = createMemoryWatch({log, readUse});
  timers.push(
    ticker,
    setInterval(checkMemory, MEMORY_CHECK_MS),
    setInterval(customers.limitIncompleteHeads, HEAD_CHECK_MS),
  );
  log.write('always', 'started', {service: settings.service});

  return {
    board,
    follow: store => {
      const storeFollow = startStoreFollower({
        store,
        mirror: board.mirror,
        peers: createStorePeers(board, stateClient),
        random,
        now,
        isOverloaded: () => board.lag.read() >= OVERLOAD_LAG_MS,
        onChanges: handleChanges,
        ...createSourceHandlers(board),
      });
      board.readMirrorAge = storeFollow.readAge;
      board.isStoreLost = storeFollow.isStoreLost;
      return storeFollow;
    },
    onStamp(refreshSettings) {
      board.refreshSettings = refreshSettings;
    },
    reload(next) {
      board.settings = {...settings, service: next.service};
      applyServices(board);
      log.write('always', 'reloaded', {service: next.service});
    },
    logReloadFailure(reason) {
      log.write('always', 'reloadFailed', {reason});
    },
    async stop() {
      const stopAt = now() + settings.graceMs * DRAIN_SHARE;
      board.stopping = true;
      board.exitAt = stopAt - EXIT_MARGIN_MS;
      log.write('always', 'stopping', {running: entry.countRunning()});
      // Without a configuration the daemon has never been ready: nobody has to
      // notice that it stops.
      if (board.table) {
        await delay(Math.min(DRAIN_NOTICE_MS, settings.graceMs / 2));
      }
      board.closed = true;
      void stopListening(customerServer);
      customers.closeIdle();
      const counts = [entry.countRunning, owner.countActive];
      counts.push(peerHandler.countRunning, customers.countEnding);
      const isBusy = () => counts.some(count => count() > 0);
      while (isBusy() && now() < stopAt) await delay(STOP_POLL_MS);
      const running = entry.countRunning();
      log.write('always', 'stopped', {running});
      await log.close();
    },
    close,
  };
}
