import type {IncomingMessage, ServerResponse} from 'node:http';
import {count, HEADERS, type Outcome, setReplyTimeout} from '../internal.js';
import {readBody} from '../daemon/http.js';
import {recordLatency} from '../daemon/metrics.js';
import type {SidecarBoard} from './board.js';
import {CRASH_PATH, formatCrashRecords} from './crash_records.js';
import {
  crashReportsSchema,
  applyCrashReports,
  formatKnownCrashes,
} from './crash_reports.js';
import {type BodyHold, createBodyHold, readCountedBody} from './body_budget.js';
import {formatLoadHeaders} from './load_headers.js';
import type {ForwardCall, ForwardReply, ForwardRequest} from './forward.js';
import {readForward, writeReply} from './forward_http.js';
import type {Owner} from './owner.js';
import {MEMORY_RETRY_MS, logRefusal} from './owner_checks.js';
import {type ReplyWriter, createReplyWriter} from './reply_writer.js';
import {ALIVE_PATH} from './peer_probe.js';
import {QUOTA_PATH, serveQuotaAsk} from './quotas.js';
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
  const arrivedAt = board.now();
  board.peerHeardAt = arrivedAt;
  const request = readForward(req, board.names.requestId, lagMs);
  if (!request) {
    count(board, 'inbound_malformed');
    res.destroy();
    return;
  }
  const isHead = req.method === 'HEAD';
  const hold = createBodyHold(board.bodies);
  res.once('close', hold.release);
  const refuse = (outcome: Outcome): void => {
    hold.release();
    const reply = refuseBody(board, owner, request, arrivedAt, outcome);
    writeReply(res, reply, isHead, () => {});
  };
  const body = hasBody(req)
    ? await readForwardedBody(board, hold, req, request.remainingMs, () =>
        refuse('deadlineTooShort'),
      )
    : undefined;
  if (typeof body === 'string' || hold.isReleased()) {
    if (typeof body === 'string' && !res.destroyed) refuse(body);
    // The next request of the connection follows the rest of the body.
    req.resume();
    return;
  }
  if (res.destroyed) return;
  const {rank} = request;
  const bodyMs = board.now() - arrivedAt;
  const goalMs = request.goalMs - bodyMs;
  const remainingMs = request.remainingMs - bodyMs;
  const deadlineAt = arrivedAt + request.remainingMs;
  const call = owner.submit({...request, body, goalMs, remainingMs});
  const reply = await awaitReply(res, call);
  hold.release();
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
  writeReply(res, reply, isHead, answer =>
    endReply(res, answer, rank, deadlineAt),
  );
}

/** Reads a body; calls `onLate` if it has not ended in time, as an entry that is
 * paused or gone does not end the connection. */
async function readForwardedBody(
  {bodies}: SidecarBoard,
  hold: BodyHold,
  req: IncomingMessage,
  limitMs: number,
  onLate: () => void,
): Promise<Buffer | Outcome | undefined> {
  const cancelTimeout = setReplyTimeout(onLate, Math.ceil(limitMs));
  try {
    return await readCountedBody(bodies, hold, req, Infinity);
  } finally {
    cancelTimeout();
  }
}

/** Refuses a request for whose body there is no memory or time; the upstream has
 * not got any of it. */
function refuseBody(
  board: SidecarBoard,
  owner: Owner,
  request: ForwardRequest,
  arrivedAt: number,
  outcome: Outcome,
): ForwardReply {
  count(board, `owner_refused_${outcome}`);
  if (outcome === 'full') count(board, 'owner_refused_body_memory');
  logRefusal(board, request, outcome, false);
  return {
    kind: 'refused',
    outcome,
    reachedUpstream: false,
    retryAfterMs: outcome === 'full' ? MEMORY_RETRY_MS : 0,
    report: owner.readReport(),
    heldMs: board.now() - arrivedAt,
  };
}

/** Awaits the reply of the owner; aborts the call when the entry disconnects. The
 * call, which holds the body, is not kept until the reply has gone out. */
async function awaitReply(
  res: ServerResponse,
  call: ForwardCall,
): Promise<ForwardReply> {
  const abort = () => call.abort();
  res.once('close', abort);
  const reply = await call.result;
  res.off('close', abort);
  return reply;
}

/** True when the head of a request announces a body. */
export function hasBody({headers}: IncomingMessage): boolean {
  const declared = headers['content-length'];
  const hasLength = declared !== undefined && declared !== '0';
  return hasLength || headers['transfer-encoding'] !== undefined;
}

/** Serves the requests of other daemons except forwarded ones: liveness
 * probes, state polls, asks for tokens, crash reports and records of crashes. */
export async function serveControl(
  board: SidecarBoard,
  owner: Owner,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  if (req.method === 'GET' && req.url === ALIVE_PATH) {
    const load = formatLoadHeaders(owner.readReport());
    res.writeHead(204, {...load, connection: 'close'}).end();
    return;
  }
  if (req.method === 'GET' && req.url?.startsWith(STATE_PATH)) {
    serveState(board, req, res);
    return;
  }
  if (req.method === 'POST' && req.url === QUOTA_PATH) {
    serveQuotaAsk(board, await readBody(req), res);
    return;
  }
  if (req.url !== CRASH_PATH || !['GET', 'POST'].includes(req.method ?? '')) {
    res.writeHead(404).end();
    return;
  }
  if (req.method === 'GET') {
    sendJson(res, formatCrashRecords(board));
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
  const known = formatKnownCrashes(board, parsed.data);
  if (known === undefined) res.writeHead(204).end();
  else sendJson(res, known);
}

function sendJson(res: ServerResponse, text: string): void {
  const body = Buffer.from(text);
  res
    .writeHead(200, {
      'content-type': 'application/json',
      'content-length': body.length,
    })
    .end(body);
}
