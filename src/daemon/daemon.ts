import {randomBytes, randomInt} from 'node:crypto';
import {createServer, type Server} from 'node:http';
import {
  count,
  createBoard,
  createRandom,
  FORWARD_PREFIX,
  handleList,
  handleSourceError,
  handleSourceReply,
  handleTick,
  recordEvent,
  TICK_MS,
  type Board,
  type Effect,
  type MemberRecord,
  type Settings,
} from '../internal.js';
import {createAdmin} from './admin.js';
import {createEntry} from './entry.js';
import {createLog, logEvent} from './log.js';
import {createMetrics, renderMetrics} from './metrics.js';
import {createOwner} from './owner.js';
import {readList, readSource} from './source.js';
import {describeStatus} from './status.js';

/** Largest header block accepted from customers and peers, bytes. */
const MAX_HEADER_BYTES = 16_384;

/** A running daemon. */
export interface Daemon {
  readonly board: Board;
  /** Stops gracefully; resolves when running work has ended. */
  stop(): Promise<void>;
}

/** Starts a daemon: opens its ports and begins to learn the configuration. */
export async function startDaemon(settings: Settings): Promise<Daemon> {
  const now = () => performance.now();
  const board = createBoard(
    createSelfRecord(settings),
    createRandom(randomInt(2 ** 32)),
    now(),
  );
  const log = createLog(settings);
  board.timeline.onEvent = event => logEvent(log, event);
  const metrics = createMetrics();
  const stopped = new AbortController();
  const entry = createEntry({board});
  const owner = createOwner({upstreamUrl: settings.upstream.url});

  const run = (effects: Effect[]): void => {
    for (const effect of effects) execute(effect);
  };
  const execute = (effect: Effect): void => {
    if (effect.kind === 'readSource') void pollSource(effect);
    if (effect.kind === 'readList') void pollList();
  };
  const pollSource = async (effect: {after: number; waitMs: number}) => {
    const {configUrl} = settings.platform;
    try {
      const reply = await readSource(
        configUrl,
        effect.after,
        effect.waitMs,
        stopped.signal,
      );
      run(handleSourceReply(board, reply, now()));
    } catch {
      run(handleSourceError(board, now()));
    }
  };
  const pollList = async () => {
    try {
      const records = await readList(settings.platform.listUrl, stopped.signal);
      run(handleList(board, records, now()));
    } catch {
      count(board, 'listFailures');
    }
  };

  const customerServer = createServer({maxHeaderSize: MAX_HEADER_BYTES});
  customerServer.on('request', (req, res) => void entry(req, res));
  const peerServer = createServer({maxHeaderSize: MAX_HEADER_BYTES});
  peerServer.on('request', (req, res) => {
    if (req.url?.startsWith(FORWARD_PREFIX)) {
      void owner(req, res);
      return;
    }
    res.writeHead(404).end();
  });
  const adminServer = createAdmin({
    isReady: () => board.config.inForce !== undefined && !board.viewStale,
    readStatus: () => describeStatus(board, now()),
    readDocument: () => board.config.inForce,
    readTimeline: () => ({
      dropped: board.timeline.dropped,
      events: board.timeline.events,
    }),
    readMetrics: () => renderMetrics(board, metrics, {}),
  });
  const {listen} = settings;
  await openPort(customerServer, listen.customerPort, listen.host);
  await openPort(peerServer, listen.peerPort, listen.host);
  await openPort(adminServer, listen.adminPort, listen.adminHost);
  recordEvent(board.timeline, 'started', {boot: board.self.boot}, now());
  run(handleTick(board, now()));
  const ticker = setInterval(() => run(handleTick(board, now())), TICK_MS);

  const stop = async (): Promise<void> => {
    clearInterval(ticker);
    stopped.abort();
    recordEvent(board.timeline, 'stopping', {}, now());
    const servers = [customerServer, peerServer, adminServer];
    await Promise.all(servers.map(closePort));
  };
  return {board, stop};
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

function openPort(server: Server, port: number, host: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.removeListener('error', reject);
      resolve();
    });
  });
}

function closePort(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
