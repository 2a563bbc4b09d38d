import type {IncomingMessage, ServerResponse} from 'node:http';
import {count, formatReport, HEADERS} from '../internal.js';
import {readBody} from '../daemon/http.js';
import {recordLatency} from '../daemon/metrics.js';
import type {SidecarBoard} from './board.js';
import {
  CRASH_PATH,
  crashReportsSchema,
  applyCrashReports,
} from './crash_reports.js';
import {readForward, writeReply} from './forward_http.js';
import type {Owner} from './owner.js';
import {type ReplyWriter, createReplyWriter} from './reply_writer.js';
import {ALIVE_PATH} from './peer_probe.js';
import {serveState, STATE_PATH} from './peer_state.js';

/** Request handler of the port for other daemons. */
export interface PeerHandler {
  (req: IncomingMessage, res: ServerResponse): void;
  /** Requests whose reply is awaited or being written. */
  countRunning(): number;
}

/** Creates the request handler of the port for other daemons. */
export function createPeerHandler(
  board: SidecarBoard,
  owner: Owner,
): PeerHandler {
  const endReply = createReplyWriter(board);
  let running = 0;
  const handle = (req: IncomingMessage, res: ServerResponse): void => {
    running++;
    res.once('close', () => running--);
    const handled =
      req.headers[HEADERS.terms] === undefined
        ? serveControl(board, owner, req, res)
        : serveForward(board, owner, endReply, req, res);
    handled.catch((err: Error) => {
      count(board, 'inbound_errors');
      board.log.write('notable', 'inboundError', {error: err.message});
      // It is unknown whether the request ran; a broken connection says so.
      res.destroy();
    });
  };
  return Object.assign(handle, {countRunning: () => running});
}

async function serveForward(
  board: SidecarBoard,
  owner: Owner,
  endReply: ReplyWriter,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const lagMs = board.lag.read();
  board.peerHeardAt = board.now();
  const body = hasBody(req)
    ? await readBody(req, Number.MAX_SAFE_INTEGER)
    : undefined;
  if (res.destroyed) return;
  const request = readForward(req, board.names.requestId, body, lagMs);
  if (!request) {
    count(board, 'inbound_malformed');
    res.destroy();
    return;
  }
  const deadlineAt = board.now() + request.remainingMs;
  const call = owner.submit(request);
  res.once('close', () => {
    if (!res.writableFinished) call.abort();
  });
  const reply = await call.result;
  if (reply.kind === 'answer') {
    if (res.destroyed) reply.answer.release();
    // Also when the head can't be written.
    else res.once('close', reply.answer.release);
  }
  if (res.destroyed) return;
  const writtenAt = board.now();
  res.once('finish', () => {
    recordLatency(board.metrics, 'reply_write', board.now() - writtenAt);
  });
  writeReply(res, reply, req.method === 'HEAD', answer =>
    endReply(res, answer, request.rank, deadlineAt),
  );
}

/** True when the head of a request announces a body. */
export function hasBody({headers}: IncomingMessage): boolean {
  const declared = headers['content-length'];
  const hasLength = declared !== undefined && declared !== '0';
  return hasLength || headers['transfer-encoding'] !== undefined;
}

/** Serves the requests of other daemons except forwarded ones: liveness
 * probes, state polls and crash reports. */
export async function serveControl(
  board: SidecarBoard,
  owner: Owner,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  if (req.method === 'GET' && req.url === ALIVE_PATH) {
    const load = formatReport(owner.readReport());
    res.writeHead(204, {[HEADERS.load]: load, connection: 'close'}).end();
    return;
  }
  if (req.method === 'GET' && req.url?.startsWith(STATE_PATH)) {
    serveState(board, req, res);
    return;
  }
  if (req.method !== 'POST' || req.url !== CRASH_PATH) {
    res.writeHead(404).end();
    return;
  }
  const body = await readBody(req);
  const parsed = crashReportsSchema.safeParse(
    JSON.parse(body?.toString() ?? 'null'),
  );
  if (!parsed.success) {
    res.writeHead(400).end();
    return;
  }
  applyCrashReports(board, parsed.data);
  res.writeHead(204).end();
}
