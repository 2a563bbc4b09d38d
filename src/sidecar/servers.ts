import {renderMetrics} from '../daemon/metrics.js';
import {isGateCold} from '../internal.js';
import {type SidecarBoard, isSidecarReady} from './board.js';
import {type Server, createServer} from 'node:http';
import type {Duplex} from 'node:stream';
import polka from 'polka';

/** Creates the server that says whether the daemon is ready. */
export function createReadyServer(board: SidecarBoard, path: string): Server {
  const app = polka();
  app.get(path, (_req, res) => {
    res.statusCode = isSidecarReady(board) ? 200 : 503;
    res.end();
  });
  return createServer((req, res) => void app.handler(req as never, res));
}

/** Creates the server of the metrics page. */
export function createMetricsServer(board: SidecarBoard): Server {
  const app = polka();
  app.get('/metrics', (_req, res) => {
    renderMetrics(board, board.metrics, readGauges(board)).then(
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

function readGauges(board: SidecarBoard): Record<string, number> {
  const {gate, list, table} = board;
  return {
    config_version: table?.config.version ?? 0,
    upstreams_listed: list.byId.size,
    data_centres_out: list.takenOut.size,
    upstream_slots: gate.slots,
    upstream_in_flight: gate.inFlight,
    upstream_queued: gate.waiting.length,
    upstream_cold: Number(isGateCold(gate, board.now())),
    upstream_down: Number(gate.down),
    log_lines_dropped: board.log.countDropped(),
    ready: Number(isSidecarReady(board)),
  };
}

/** Status lines for input that is not a proper request. */
const CLIENT_ERRORS: Record<string, string> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/** Answers input that is not a proper request, and closes its connection. */
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

/** Stops listening; resolves when all connections have ended. */
export function closePort(server: Server): Promise<void> {
  return new Promise(resolve => {
    if (server.listening) server.close(() => resolve());
    else resolve();
  });
}

/** Opens a port; rejects when it cannot be had. */
export function openPort(
  server: Server,
  port: number,
  host: string,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, 511, () => {
      server.removeListener('error', reject);
      resolve();
    });
  });
}
