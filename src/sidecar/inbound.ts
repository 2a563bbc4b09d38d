import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';
import {
  count,
  formatReport,
  HEADERS,
  noteCrashes,
  type CrashReport,
} from '../internal.js';
import {readBody} from '../daemon/http.js';
import type {SidecarBoard} from './board.js';
import {readForward, writeReply} from './hop.js';
import type {Owner} from './owner.js';
import {ALIVE_PATH} from './peer_probe.js';
import {serveState, STATE_PATH} from './peer_news.js';

/** Path at which a daemon takes reports of crashed upstreams. */
export const CRASH_PATH = '/.well-known/berylbend/crashes';

/** Reports that one message may carry. */
const MAX_REPORTS = 1_000;

const crashReportsSchema = z
  .array(
    z.object({
      fingerprint: z.string(),
      service: z.string(),
      upstream: z.string(),
      crashes: z.int().min(1),
      ageMs: z.number().min(0),
    }),
  )
  .max(MAX_REPORTS);

/** Creates the handler of the port for other daemons. */
export function createInbound(
  board: SidecarBoard,
  owner: Owner,
): (req: IncomingMessage, res: ServerResponse) => void {
  return (req, res) => {
    const handled =
      req.headers[HEADERS.terms] === undefined
        ? serveControl(board, owner, req, res)
        : serveForward(board, owner, req, res);
    handled.catch((err: Error) => {
      count(board, 'inbound_errors');
      board.log.write('notable', 'inboundError', {error: err.message});
      // It is unknown how far the request got; a broken connection says so.
      res.destroy();
    });
  };
}

async function serveForward(
  board: SidecarBoard,
  owner: Owner,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const lagMs = board.lag.read();
  const body = await readWholeBody(req, Number.MAX_SAFE_INTEGER);
  if (res.destroyed) return;
  const request = readForward(req, board.names.requestId, body, lagMs);
  if (!request) {
    count(board, 'inbound_malformed');
    res.destroy();
    return;
  }
  const call = owner.submit(request);
  res.once('close', () => {
    if (!res.writableFinished) call.abort();
  });
  const reply = await call.result;
  if (!res.destroyed) writeReply(res, reply, req.method === 'HEAD');
}

/** Reads a body if there is one; rejects when the sender stops. */
export function readWholeBody(
  req: IncomingMessage,
  limitBytes: number,
): Promise<Buffer | undefined> {
  const {headers} = req;
  const declared = headers['content-length'];
  const none = declared === undefined || declared === '0';
  if (none && headers['transfer-encoding'] === undefined) {
    return Promise.resolve(undefined);
  }
  return readBody(req, limitBytes);
}

/** Answers what daemons ask of each other beside forwarded requests. */
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
  takeCrashes(board, parsed.data);
  res.writeHead(204).end();
}

/** Takes in reports of requests that were running when an upstream crashed. */
export function takeCrashes(
  board: SidecarBoard,
  reports: readonly CrashReport[],
): void {
  const news = noteCrashes(board.suspects, reports, board.now());
  for (const {fingerprint, upstream, crashes} of news) {
    board.log.write('notable', 'crashReported', {
      fingerprint,
      upstream,
      crashes,
    });
  }
}
