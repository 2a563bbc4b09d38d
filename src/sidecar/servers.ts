import {
  type CustomerConnections,
  HEADERS_OVERDUE,
  HEADS_FULL,
  serveCustomers,
} from '../daemon/customer_server.js';
import {renderMetrics} from '../daemon/metrics.js';
import {count, countUnsentBytes, isCold, listUpstreams} from '../internal.js';
import {type SidecarBoard, isSidecarReady, readCopyStatus} from './board.js';
import type {Entry} from './entry.js';
import {readHeader} from './header_copy.js';
import {readPlacementGauges} from './placement.js';
import {type EntryLoad, countDescriptors, readMemoryUse} from './resources.js';
import {
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
  createServer,
} from 'node:http';
import type {Duplex} from 'node:stream';
import polka from 'polka';

/** Largest header block that the HTTP parser accepts without a configuration,
 * bytes. */
const MAX_HEADER_BYTES = 65_536;

/** Bytes above the configured limit that the parser accepts, so that a head
 * slightly above the limit gets an answer that names the request. */
const HEADER_MARGIN_BYTES = 1_024;

/** Time after which an idle connection of another daemon is closed, ms. */
const PEER_KEEP_ALIVE_MS = 30_000;

/** Largest time that a gauge shows, ms. */
const MAX_GAUGE_MS = 3_600_000;

/** Code of the error for a head above the limit at the start of its connection and
 * below the one in force. */
const HEAD_LIMIT_RAISED = 'HEAD_LIMIT_RAISED';

/** Interval of the check for connections whose headers are overdue, ms. */
const HEADER_CHECK_MS = 500;

/** Server for customers and its connections. */
export interface CustomerServer extends CustomerConnections {
  readonly server: Server;
}

/** Creates the server for customers. */
export function createCustomerServer(
  board: SidecarBoard,
  entry: Entry,
): CustomerServer {
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    connectionsCheckingInterval: HEADER_CHECK_MS,
    requestTimeout: 0,
  });
  const parserLimits = new WeakMap<Duplex, number>();
  server.on('connection', socket => {
    parserLimits.set(socket, readParserLimit(board));
  });
  const connections = serveCustomers(server, {
    handle: entry,
    answerError(err: NodeJS.ErrnoException, socket) {
      const {code} = err;
      const isFull = code === HEADS_FULL;
      count(board, isFull ? 'entry_refused_head_memory' : 'entry_bad_http');
      // The limit may have been raised since the connection was opened; a new
      // connection accepts the head then.
      const limitBytes = parserLimits.get(socket) ?? 0;
      const isRaised =
        code === 'HPE_HEADER_OVERFLOW' && limitBytes < readParserLimit(board);
      if (isRaised) Object.assign(err, {code: HEAD_LIMIT_RAISED});
      answerClientError(err, socket);
    },
    onCut: requests => logCut(board, requests),
    heads: board.heads,
  });
  return {server, ...connections};
}

/** Logs requests whose connection this daemon closed without an answer. */
function logCut(
  board: SidecarBoard,
  requests: readonly IncomingMessage[],
): void {
  count(board, 'entry_connections_cut');
  for (const {headers} of requests) {
    board.log.write('notable', 'connectionCut', {
      request: readHeader(headers, board.names.requestId),
      stopping: board.stopping,
    });
  }
}

/** Creates the server for other daemons. */
export function createPeerServer(handle: RequestListener): Server {
  const options = {
    maxHeaderSize: MAX_HEADER_BYTES,
    keepAliveTimeout: PEER_KEEP_ALIVE_MS,
    requestTimeout: 0,
  };
  return createServer(options, handle);
}

/** Creates the control server, at which daemons that know no peers yet request
 * the state. */
export function createControlServer(
  {log}: SidecarBoard,
  serve: (req: IncomingMessage, res: ServerResponse) => Promise<void>,
): Server {
  return createServer((req, res) => {
    serve(req, res).catch((err: Error) => {
      log.write('notable', 'controlError', {error: err.message});
      res.destroy();
    });
  });
}

/** Limit of a head at the HTTP parser of a new connection, bytes. */
function readParserLimit({table}: SidecarBoard): number {
  if (!table) return MAX_HEADER_BYTES;
  const {headerBytes} = table.config.limits;
  return Math.min(MAX_HEADER_BYTES, headerBytes + HEADER_MARGIN_BYTES);
}

/** Applies the configured timeouts and the limit of a head to a server. */
export function applyLimits(server: Server, board: SidecarBoard): void {
  const {table} = board;
  if (!table) return;
  const {idleTimeoutMs, headerTimeoutMs} = table.config.limits;
  server.keepAliveTimeout = idleTimeoutMs;
  server.headersTimeout = headerTimeoutMs;
  // Node documents this as an option of `createServer` only, and reads the
  // property at each new connection.
  Object.assign(server, {maxHeaderSize: readParserLimit(board)});
}

/** Creates the server of the readiness check. */
export function createReadyServer(board: SidecarBoard, path: string): Server {
  const app = polka();
  app.get(path, (_req, res) => {
    res.statusCode = isSidecarReady(board) ? 200 : 503;
    res.end();
  });
  return createServer((req, res) => void app.handler(req as never, res));
}

/** Creates the server of the metrics page. */
export function createMetricsServer(
  board: SidecarBoard,
  readLoad: () => EntryLoad,
): Server {
  const app = polka();
  app.get('/metrics', (_req, res) => {
    renderMetrics(
      board,
      board.metrics,
      readGauges(board, readLoad()),
      board.organisations,
    ).then(
      text => res.end(text),
      (err: Error) => {
        board.log.write('notable', 'metricsError', {error: err.message});
        res.statusCode = 500;
        res.end();
      },
    );
  });
  return createServer((req, res) => void app.handler(req as never, res));
}

function readGauges(
  board: SidecarBoard,
  load: EntryLoad,
): Record<string, number> {
  const {limiter, list, mirror, table} = board;
  const memory = readMemoryUse(board, load);
  const descriptors = countDescriptors();
  const {ageMs, outageToldAgoMs, lagMs} = readCopyStatus(board);
  return {
    config_version: table?.config.version ?? 0,
    upstreams_listed: listUpstreams(list).length,
    data_centres_out: list.takenOut.size,
    upstream_slots: limiter.slots,
    upstream_in_flight: limiter.inFlight,
    upstream_queued: limiter.queue.length,
    upstream_cold: Number(isCold(limiter, board.now())),
    upstream_down: Number(limiter.down),
    ...(memory.rssBytes !== undefined && {rss_bytes: memory.rssBytes}),
    memory_limit_bytes: memory.limitBytes,
    heap_bytes: memory.heapBytes,
    heap_limit_bytes: memory.heapLimitBytes,
    external_bytes: memory.externalBytes ?? 0,
    buffer_bytes: memory.bufferBytes ?? 0,
    answer_bytes: memory.answerBytes,
    answer_waiting_bytes: board.answers.waitingBytes,
    body_bytes: memory.bodyBytes,
    head_bytes: board.heads.usedBytes,
    customer_connections: memory.connections,
    ...(descriptors !== undefined && {open_descriptors: descriptors}),
    link_unsent_bytes: countUnsentBytes(board.pacer),
    log_lines_dropped: board.log.countDropped(),
    ready: Number(isSidecarReady(board)),
    store_copy_age_ms: limitGauge(ageMs),
    store_era: mirror.era,
    store_revision: mirror.revision ?? 0,
    store_content_revision: Math.max(0, mirror.contentRevision),
    store_lost: Number(board.isStoreLost()),
    store_outage_told_ms: limitGauge(outageToldAgoMs),
    loop_lag_ms: lagMs,
    ...readPlacementGauges(board),
  };
}

/** Bounds a time that is infinite before the first event, ms. */
function limitGauge(ms: number): number {
  return Math.min(Math.round(ms), MAX_GAUGE_MS);
}

/** Status lines for malformed or incomplete requests, by error code. */
const CLIENT_ERRORS: Record<string, string> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  [HEADERS_OVERDUE]: '408 Request Timeout',
  [HEADS_FULL]: '503 Service Unavailable',
  [HEAD_LIMIT_RAISED]: '503 Service Unavailable',
};

/** Answers a malformed or incomplete request and closes its connection. */
export function answerClientError(err: Error, socket: Duplex): void {
  const {code = ''} = err as NodeJS.ErrnoException;
  if (!socket.writable || code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const status = CLIENT_ERRORS[code] ?? '400 Bad Request';
  socket.end(
    `HTTP/1.1 ${status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`,
  );
}
