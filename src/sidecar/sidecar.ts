import {setTimeout as delay} from 'node:timers/promises';
import {
  type CrashReport,
  type HeaderNames,
  type KeyChange,
  type KeyValueStore,
  LAG_WINDOW_MS,
  type SidecarSettings,
  type StoreNews,
  type StoreFollow,
  count,
  createRandom,
  expireUpstreams,
  pruneTargets,
  startStoreFollow,
} from '../internal.js';
import {
  type SidecarBoard,
  createSidecarBoard,
  findOwnUpstream,
} from './board.js';
import {type DecisionLog, createDecisionLog} from './decision_log.js';
import {createSidecarEntry} from './entry.js';
import {createHttpClient} from './http_client.js';
import {
  CRASH_PATH,
  createInbound,
  serveControl,
  takeCrashes,
} from './inbound.js';
import {takeNews} from './news.js';
import {startPeerProbe} from './peer_probe.js';
import {createSidecarOwner} from './owner.js';
import {
  createNewsClient,
  createNewsPeers,
  wakeNewsWaiters,
} from './peer_news.js';
import {createSourceNotes} from './news.js';
import {
  answerClientError,
  closePort,
  createMetricsServer,
  createReadyServer,
  openPort,
} from './servers.js';
import {randomInt} from 'node:crypto';
import {createServer, type Server} from 'node:http';
import type {Duplex} from 'node:stream';

/** Largest header block that the HTTP parser accepts, bytes; the limit of the
 * configuration is checked after it. */
const MAX_HEADER_BYTES = 65_536;

/** Time after which an idle connection of another daemon is closed, ms. */
const PEER_IDLE_MS = 30_000;

/** Interval at which connections with late headers are looked for, ms. */
const HEADER_CHECK_MS = 500;

/** Time after SIGTERM for which new requests are taken, ms: two readiness
 * checks, one second apart, must fail before customers go elsewhere. */
const DRAIN_NOTICE_MS = 2_500;

/** Part of the grace time that running requests get; the rest is for the
 * process to end by itself. */
const STOP_SHARE = 0.9;

/** Interval at which a stopping process looks for running requests, ms. */
const STOP_POLL_MS = 50;

/** Time for a report of a crash to reach another daemon, ms. */
const CRASH_REPORT_MS = 1_000;

/** A running sidecar. */
export interface Sidecar {
  readonly board: SidecarBoard;
  /** Follows the platform's store. */
  follow(store: KeyValueStore): StoreFollow;
  /** Takes over changed settings; addresses stay as they were at the start. */
  reload(settings: SidecarSettings): void;
  /** Notes that changed settings could not be read; the old ones stay. */
  noteBadSettings(reason: string): void;
  /** Stops gracefully; resolves when the process may end. */
  stop(): Promise<void>;
  /** Closes all ports and connections at once. */
  close(): Promise<void>;
}

/** What a sidecar is started with. */
export interface SidecarDeps {
  readonly settings: SidecarSettings;
  readonly names: HeaderNames;
  /** Path at which the platform asks whether the daemon is ready. */
  readonly readyPath: string;
  /** Prefix of the keys that concern the mesh. */
  readonly prefix: string;
  /** Reads what a key of the store means; undefined for other keys. */
  readonly decode: (
    key: string,
    value: Buffer | undefined,
  ) => StoreNews | undefined;
  readonly log?: DecisionLog;
}

/** Starts a sidecar: opens its ports and waits for news. */
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
    log,
    random,
    now,
  });
  const control = createHttpClient({
    connections: 1,
    connectTimeoutMs: CRASH_REPORT_MS,
    keepAliveMs: CRASH_REPORT_MS,
  });
  const newsClient = createNewsClient();
  const owner = createSidecarOwner(board, fingerprints => {
    const own = findOwnUpstream(board);
    if (!own) return;
    const {service, id: upstream} = own;
    const reports = fingerprints.map(fingerprint => {
      return {fingerprint, service, upstream, crashes: 1, ageMs: 0};
    });
    takeCrashes(board, reports);
    tellPeers(reports);
  });
  const tellPeers = (reports: CrashReport[]): void => {
    const hosts = new Set([...board.list.byId.values()].map(item => item.host));
    hosts.delete(settings.host);
    const body = Buffer.from(JSON.stringify(reports));
    const request = {method: 'POST', path: CRASH_PATH, headers: [], body};
    for (const host of hosts) {
      const origin = `http://${host}:${settings.peerPort}`;
      const call = control.send(origin, request, now());
      setTimeout(() => call.abort(), CRASH_REPORT_MS);
    }
  };
  const entry = createSidecarEntry(board, owner);
  const customerServer = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    connectionsCheckingInterval: HEADER_CHECK_MS,
    requestTimeout: 0,
  });
  customerServer.on('request', entry);
  customerServer.on('clientError', (err: Error, socket: Duplex) => {
    count(board, 'entry_bad_http');
    if (entry.isBusy(socket)) socket.destroy();
    else answerClientError(err, socket);
  });
  const peerServer = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    keepAliveTimeout: PEER_IDLE_MS,
    requestTimeout: 0,
  });
  peerServer.on('request', createInbound(board, owner));
  const controlServer = createServer((req, res) => {
    serveControl(board, owner, req, res).catch((err: Error) => {
      log.write('notable', 'controlError', {error: err.message});
      res.destroy();
    });
  });
  const readyServer = createReadyServer(board, deps.readyPath);
  const metricsServer = createMetricsServer(board);

  const takeChanges = (changes: KeyChange[]): void => {
    const at = now();
    board.list.complete = true;
    if (changes.length === 0) return;
    for (const {key, value} of changes) {
      const item = deps.decode(key, value);
      if (item) takeNews(board, item, at);
    }
    pruneTargets(board.balance, board.list.byId);
    owner.sync();
    applyLimits(customerServer, board);
    wakeNewsWaiters(board);
  };
  await openPort(customerServer, settings.customerPort, settings.host);
  await openPort(peerServer, settings.peerPort, settings.host);
  await openPort(controlServer, settings.controlPort, settings.host);
  await openPort(readyServer, settings.readyPort, settings.host);
  await openPort(metricsServer, settings.metricsPort, settings.host);
  const servers = [
    customerServer,
    peerServer,
    controlServer,
    readyServer,
    metricsServer,
  ];
  const stopProbe = startPeerProbe(board);
  const ticker = setInterval(() => {
    board.lag.read();
    for (const upstream of expireUpstreams(board.list, now())) {
      log.write('always', 'upstreamGone', {upstream, lapsed: true});
    }
  }, LAG_WINDOW_MS);
  log.write('always', 'started', {service: settings.service});

  return {
    board,
    follow: store => {
      const following = startStoreFollow({
        store,
        mirror: board.mirror,
        peers: createNewsPeers(board, newsClient),
        random,
        now,
        onChanges: takeChanges,
        ...createSourceNotes(board),
      });
      board.readNewsAge = following.readAge;
      return following;
    },
    reload(next) {
      board.settings = {...settings, service: next.service};
      log.write('always', 'reloaded', {service: next.service});
    },
    noteBadSettings(reason) {
      log.write('always', 'reloadFailed', {reason});
    },
    async stop() {
      const stopAt = now() + settings.graceMs * STOP_SHARE;
      board.stopping = true;
      log.write('always', 'stopping', {running: entry.countRunning()});
      await delay(Math.min(DRAIN_NOTICE_MS, settings.graceMs / 2));
      board.closed = true;
      customerServer.close();
      customerServer.closeIdleConnections();
      const isBusy = () => entry.countRunning() + owner.countActive() > 0;
      while (isBusy() && now() < stopAt) await delay(STOP_POLL_MS);
      const running = entry.countRunning();
      log.write('always', 'stopped', {running});
      await log.close();
    },
    async close() {
      clearInterval(ticker);
      for (const server of servers) server.closeAllConnections();
      await Promise.all(servers.map(closePort));
      const clients = [entry, control, newsClient];
      await Promise.all(clients.map(client => client.close()));
      await Promise.all([owner.stop(), stopProbe()]);
    },
  };
}

/** Sets the times that the configuration allows a customer's connection. */
function applyLimits(server: Server, {table}: SidecarBoard): void {
  if (!table) return;
  const {idleTimeoutMs, headerTimeoutMs} = table.config.limits;
  server.keepAliveTimeout = idleTimeoutMs;
  server.headersTimeout = headerTimeoutMs;
}
