import {randomBytes, randomInt} from 'node:crypto';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
  announceLeaving,
  computeSourceAge,
  count,
  createBoard,
  createRandom,
  FORWARD_PREFIX,
  handleCrash,
  handleLinkDown,
  handleLinkUp,
  handleList,
  handleMessage,
  handleSourceError,
  handleSourceReply,
  handleTick,
  recordEvent,
  reportCrashes,
  TICK_MS,
  type Board,
  type Effect,
  type MemberRecord,
  type Settings,
} from '../internal.js';
import {createAdmin} from './admin.js';
import {
  serveCustomers,
  stopListening,
  type CustomerConnections,
  type CustomerHandlers,
  type RequestTurn,
} from './customer_server.js';
import {createEntry} from './entry.js';
import {answerClientError} from './http.js';
import {createLinks} from './links.js';
import {createLog, logEvent} from './log.js';
import {createMetrics, recordLatency, renderMetrics} from './metrics.js';
import {createOwner} from './owner.js';
import {readList, readSource} from './source.js';
import {describeStatus} from './status.js';
import {createUpstream} from './upstream.js';

/** Time between the announcement of a stop and the first refusal, ms. */
export const DRAIN_NOTICE_MS = 1_000;

/** Largest header block accepted from customers and peers, bytes. */
const MAX_SERVER_HEADER_BYTES = 16_384;

/** Largest header block accepted on the admin port, bytes. */
const MAX_ADMIN_HEADER_BYTES = 8_192;

type EffectOf<K extends Effect['kind']> = Extract<Effect, {kind: K}>;

/** Function that executes each kind of effect. */
type Executors = {
  readonly [K in Effect['kind']]: (effect: EffectOf<K>) => void;
};

interface Port {
  readonly server: Server;
  readonly connections: CustomerConnections;
}

/** A running daemon. */
export interface Daemon {
  readonly board: Board;
  /** Stops gracefully; resolves when requests in progress have ended. */
  stop(): Promise<void>;
}

/** Starts a daemon: opens its ports and begins to follow the configuration. */
export async function startDaemon(settings: Settings): Promise<Daemon> {
  const now = () => performance.now();
  const board = createBoard(
    createSelfRecord(settings),
    createRandom(randomInt(2 ** 32)),
    now(),
  );
  board.members.listIntervalMs = settings.platform.listEveryMs;
  const log = createLog(settings);
  board.timeline.onEvent = event => logEvent(log, event);
  const metrics = createMetrics();
  const abortController = new AbortController();
  const {peerKey} = settings;
  const entry = createEntry({
    board,
    peerKey,
    now,
    execute: runEffects,
    onFinished: (outcome, elapsedMs) => {
      if (outcome === 'answered') recordLatency(metrics, 'answers', elapsedMs);
    },
  });
  board.onCrash = handleCrash;
  const owner = createOwner({
    board,
    peerKey,
    upstream: createUpstream(settings.upstream.url, 1),
    reportCrash: fingerprints => {
      const {service, id: upstream} = board.self;
      const crash = {service, upstream, knownCrashes: 0};
      runEffects(reportCrashes(board, fingerprints, crash, now()));
    },
    now,
    wallAtStart: Date.now(),
  });
  const links = createLinks({
    getSelf: () => board.self,
    peerKey,
    onUp: (record, dialled) =>
      runEffects(handleLinkUp(board, record, dialled, now())),
    onDown: (id, reason) =>
      runEffects(handleLinkDown(board, id, reason, now())),
    onMessage: (id, msg) => runEffects(handleMessage(board, id, msg, now())),
    count: (name, by) => count(board, name, by),
  });

  const executors: Executors = {
    send: effect => links.send(effect.to, effect.msg),
    dial: effect => links.dial(effect.to),
    close: effect => links.close(effect.to, effect.reason),
    readSource: effect => void pollSource(effect),
    readList: () => void pollList(),
  };
  function runEffects(effects: Effect[]): void {
    for (const effect of effects) {
      const handler = executors[effect.kind] as (effect: Effect) => void;
      handler(effect);
    }
  }
  const pollSource = async (effect: EffectOf<'readSource'>) => {
    const {configUrl} = settings.platform;
    try {
      const reply = await readSource(
        configUrl,
        effect.after,
        effect.waitMs,
        abortController.signal,
      );
      runEffects(handleSourceReply(board, reply, now()));
    } catch {
      runEffects(handleSourceError(board, now()));
    }
  };
  const pollList = async () => {
    try {
      const records = await readList(
        settings.platform.listUrl,
        abortController.signal,
      );
      runEffects(handleList(board, records, now()));
    } catch {
      count(board, 'list_errors');
    }
  };

  const customerPort = createPort(MAX_SERVER_HEADER_BYTES, {
    handle: entry,
    answerError: entry.answerError,
  });
  const announceClose = (res: ServerResponse, turn: RequestTurn): void => {
    const leaving = board.self.state === 'leaving';
    if (leaving && turn.isLast()) res.setHeader('connection', 'close');
  };
  const peerPort = createPort(MAX_SERVER_HEADER_BYTES, {
    handle(req, res, turn) {
      announceClose(res, turn);
      if (req.url?.startsWith(FORWARD_PREFIX)) owner(req, res);
      else res.writeHead(404).end();
    },
    answerError: answerClientError,
  });
  links.attach(peerPort.server);
  const serveAdmin = createAdmin({
    isReady: () => isReady(board) && owner.isReady(),
    readStatus: () => describeStatus(board, owner.readLoad(), now()),
    readDocument: () => board.config.inForce,
    readTimeline: () => ({
      dropped: board.timeline.dropped,
      events: board.timeline.events,
    }),
    readMetrics: () => renderMetrics(board, metrics, readGauges()),
  });
  const adminPort = createPort(MAX_ADMIN_HEADER_BYTES, {
    handle(req, res, turn) {
      announceClose(res, turn);
      serveAdmin(req, res);
    },
    answerError: answerClientError,
  });
  const readGauges = (): Record<string, number> => {
    const load = owner.readLoad();
    return {
      config_version: board.config.inForce?.version ?? 0,
      config_confirmed: Number(board.config.confirmed),
      source_age_ms: Math.round(computeSourceAge(board, now())),
      links: board.links.size,
      view_stale: Number(board.viewStale),
      entry_running: entry.countRunning(),
      upstream_limit: load.limit,
      upstream_in_flight: load.inFlight,
      upstream_queued: load.queued,
      upstream_cold: Number(load.cold),
      upstream_stalled: Number(load.stalled),
      timeline_dropped: board.timeline.dropped,
    };
  };
  const {listen} = settings;
  await openPort(customerPort, listen.customerPort, listen.host);
  await openPort(peerPort, listen.peerPort, listen.host);
  await openPort(adminPort, listen.adminPort, listen.adminHost);
  recordEvent(board.timeline, 'started', {boot: board.self.boot}, now());
  const tick = (): void => {
    runEffects(handleTick(board, now()));
    owner.tick(now());
  };
  tick();
  const tickTimer = setInterval(tick, TICK_MS);

  const stop = async (): Promise<void> => {
    recordEvent(board.timeline, 'stopping', {}, now());
    runEffects(announceLeaving(board, now()));
    // Requests are served until entries have received the announcement.
    await delay(DRAIN_NOTICE_MS);
    await Promise.all([entry.stop(), owner.stop()]);
    clearInterval(tickTimer);
    abortController.abort();
    await links.stop();
    await Promise.all([customerPort, peerPort, adminPort].map(closePort));
  };
  return {board, stop};
}

function isReady({config, viewStale, self}: Board): boolean {
  return config.inForce !== undefined && !viewStale && self.state === 'live';
}

function createSelfRecord(settings: Settings): MemberRecord {
  const {id, dataCentre, region, service, listen} = settings;
  return {
    id,
    incarnation: Date.now(),
    boot: randomBytes(8).toString('hex'),
    dataCentre,
    region,
    service,
    host: settings.advertiseHost ?? listen.host,
    customerPort: listen.customerPort,
    peerPort: listen.peerPort,
    state: 'live',
  };
}

function createPort(maxHeaderSize: number, handlers: CustomerHandlers): Port {
  const server = createServer({maxHeaderSize});
  return {server, connections: serveCustomers(server, handlers)};
}

function openPort({server}: Port, port: number, host: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.removeListener('error', reject);
      resolve();
    });
  });
}

/** Answers what has arrived; resolves when all connections have ended. */
function closePort({server, connections}: Port): Promise<void> {
  const closed = stopListening(server);
  connections.closeIdle();
  return closed;
}
