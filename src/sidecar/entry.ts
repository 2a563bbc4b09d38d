import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import {
  beginAlone,
  chooseService,
  chooseTarget,
  combineOutcomes,
  computeFingerprint,
  count,
  creditRequest,
  ejectTarget,
  endAlone,
  findRoute,
  formatReason,
  holdTarget,
  judgeRequest,
  noteFull,
  noteTargetEnd,
  noteTargetSend,
  OUTCOMES,
  takeResend,
  type ListedUpstream,
  type MeshRoute,
  type Outcome,
  type RouteTable,
} from '../internal.js';
import {recordLatency} from '../daemon/metrics.js';
import type {SidecarBoard} from './board.js';
import type {ForwardCall, ForwardReply, ForwardRequest} from './forward.js';
import {copyAnswerHeaders, copyRawHeaders, readOne} from './header_copy.js';
import {sendForward} from './hop.js';
import {
  createHttpClient,
  type HttpAnswer,
  type HttpClient,
} from './http_client.js';
import {readWholeBody} from './inbound.js';
import type {Owner} from './owner.js';

/** Connections to one other daemon, at most. */
const PEER_CONNECTIONS = 200;

/** Longest wait for a connection to another daemon, ms. */
const PEER_CONNECT_MS = 250;

/** Time after which an idle connection to another daemon is closed, ms; the
 * other side closes later, so that no request meets a closing connection. */
const PEER_KEEP_ALIVE_MS = 10_000;

/** Time kept for the way of the answer to the customer, ms. */
const ANSWER_MARGIN_MS = 20;

/** Part of a short deadline that is kept for the way of the answer. */
const ANSWER_MARGIN_SHARE = 0.1;

/** Daemons that one request may be offered to, refusals included. */
const MAX_OFFERS = 5;

/** A resend needs this much of the usual running time, ms at least. */
const MIN_RESEND_MS = 20;

/** Time without requests for a daemon that says it is leaving, ms. */
const LEAVING_HOLD_MS = 1_500;

/** Part of the memory of a process that request bodies may take. */
const BODY_MEMORY_SHARE = 0.15;

/** Shortest time after which a refused customer is asked to come back, ms. */
const MIN_RETRY_AFTER_MS = 50;

/** Longest time after which a refused customer is asked to come back, ms. */
const MAX_RETRY_AFTER_MS = 1_000;

/** Time after which a request that had no upstream may find one, ms. */
const NO_UPSTREAM_RETRY_MS = 300;

/** Bytes of request and answer above which data centres are not changed for
 * a little time: the way between them is what costs most. */
const HEAVY_BYTES = 4_096;

/** Weight of the newest size in the mean of a route. */
const BYTES_GAIN = 0.1;

/** Handler of customers' requests. */
export interface Entry {
  (req: IncomingMessage, res: ServerResponse): void;
  /** True while a request of the connection is in progress. */
  isBusy(socket: Duplex): boolean;
  /** Requests in progress. */
  countRunning(): number;
  close(): Promise<void>;
}

interface EntryState {
  readonly board: SidecarBoard;
  readonly owner: Owner;
  readonly client: HttpClient;
  running: number;
  /** Connections with a request in progress. */
  readonly busy: WeakSet<Duplex>;
  bodyBytes: number;
}

/** One request of a customer in progress. */
interface Exchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly id: string;
  readonly startedAt: number;
  route?: MeshRoute;
  version: number;
  service: string;
  goalAt: number;
  limitAt: number;
  /** Time that the customer has left after the limit, ms. */
  deadlineAt: number;
  headers: string[];
  body: Buffer | undefined;
  fingerprint: string;
  readonly tried: Set<string>;
  /** Upstreams that the request has reached. */
  arrivals: number;
  offers: number;
  outcome?: Outcome;
  /** Newest failure that an upstream itself has answered. */
  failure?: HttpAnswer;
  retryAfterMs: number;
  upstream: string;
  call?: ForwardCall;
  timer?: NodeJS.Timeout;
  over: boolean;
}

/** Creates the handler of customers' requests. */
export function createSidecarEntry(board: SidecarBoard, owner: Owner): Entry {
  const state: EntryState = {
    board,
    owner,
    client: createHttpClient({
      connections: PEER_CONNECTIONS,
      connectTimeoutMs: PEER_CONNECT_MS,
      keepAliveMs: PEER_KEEP_ALIVE_MS,
    }),
    running: 0,
    busy: new WeakSet(),
    bodyBytes: 0,
  };
  const handle = (req: IncomingMessage, res: ServerResponse): void => {
    const exchange = beginExchange(state, req, res);
    serve(state, exchange).catch((err: Error) => {
      count(board, 'entry_errors');
      board.log.write('notable', 'entryError', {
        request: exchange.id,
        error: err.message,
      });
      // Whether a byte was sent is not known here.
      if (!res.headersSent) finishRefused(state, exchange, 'connectionBroken');
      else res.destroy();
    });
  };
  return Object.assign(handle, {
    isBusy: (socket: Duplex) => state.busy.has(socket),
    countRunning: () => state.running,
    close: () => state.client.close(),
  });
}

function beginExchange(
  state: EntryState,
  req: IncomingMessage,
  res: ServerResponse,
): Exchange {
  const {board} = state;
  // The deadline goes on while a request waits unread.
  const startedAt = board.now() - board.lag.read();
  const exchange: Exchange = {
    req,
    res,
    id: readOne(req.headers, board.names.requestId) ?? '',
    startedAt,
    version: 0,
    service: '',
    goalAt: Infinity,
    limitAt: Infinity,
    deadlineAt: Infinity,
    headers: [],
    body: undefined,
    fingerprint: '',
    tried: new Set(),
    arrivals: 0,
    offers: 0,
    retryAfterMs: Infinity,
    upstream: '',
    over: false,
  };
  state.running++;
  const {socket} = req;
  state.busy.add(socket);
  count(board, 'entry_requests');
  if (board.stopping) res.setHeader('connection', 'close');
  res.once('close', () => {
    state.running--;
    state.busy.delete(socket);
    state.bodyBytes -= exchange.body?.length ?? 0;
    clearTimeout(exchange.timer);
    if (exchange.over) return;
    exchange.over = true;
    exchange.call?.abort();
    count(board, 'entry_cancelled');
    logRequest(state, exchange, 'cancelled', 0);
  });
  return exchange;
}

async function serve(state: EntryState, exchange: Exchange): Promise<void> {
  const {board} = state;
  const {table} = board;
  if (!table || !board.list.complete) {
    return finishRefused(state, exchange, 'noConfig');
  }
  if (board.closed) return finishRefused(state, exchange, 'leaving');
  const bad = checkHead(state, exchange, table);
  if (bad) return finishRefused(state, exchange, bad);
  const {limits} = table.config;
  const body = await receiveBody(state, exchange, limits.bodyBytes);
  if (exchange.over) return;
  if (typeof body === 'string') return finishRefused(state, exchange, body);
  exchange.body = body;
  const {req} = exchange;
  exchange.fingerprint = computeFingerprint(
    `${req.method} ${board.settings.service}`,
    req.url ?? '',
    body ?? Buffer.alloc(0),
  );
  await dispatch(state, exchange);
}

/** Checks the head and sets what follows from the route. */
function checkHead(
  {board}: EntryState,
  exchange: Exchange,
  table: RouteTable,
): Outcome | undefined {
  const {req} = exchange;
  const {headers, rawHeaders} = req;
  let headerBytes = (req.url ?? '').length;
  for (const text of rawHeaders) headerBytes += text.length + 2;
  if (headerBytes > table.config.limits.headerBytes) return 'tooLarge';
  if (exchange.id === '') return 'badRequest';
  const target = req.url ?? '';
  const route = findRoute(table, headers.host ?? '', target);
  exchange.version = table.config.version;
  if (!route) return 'unknownRoute';
  exchange.route = route;
  const {names, settings} = board;
  const deadlineMs = Number(readOne(headers, names.deadlineMs) ?? NaN);
  const askedMs = Number.isFinite(deadlineMs) ? deadlineMs : route.timeoutMs;
  const marginMs = Math.min(ANSWER_MARGIN_MS, askedMs * ANSWER_MARGIN_SHARE);
  const limitMs = Math.min(route.timeoutMs, askedMs - marginMs);
  const {startedAt} = exchange;
  exchange.goalAt = startedAt + route.goalMs - marginMs;
  exchange.limitAt = startedAt + limitMs;
  exchange.deadlineAt = startedAt + askedMs - marginMs;
  exchange.headers = copyRawHeaders(rawHeaders, headers.connection, [
    names.caller,
    names.deadlineMs,
    names.expectedUpstream,
  ]);
  exchange.headers.push(names.caller, settings.service);
  exchange.service = chooseService(board.splits, route, board.random);
  creditRequest(board.resends, exchange.service, board.list.byId.size);
  return undefined;
}

async function receiveBody(
  state: EntryState,
  exchange: Exchange,
  limitBytes: number,
): Promise<Buffer | undefined | Outcome> {
  const {req} = exchange;
  const declared = Number(req.headers['content-length'] ?? 0);
  if (declared > limitBytes) return 'tooLarge';
  const {memoryMb} = state.board.settings;
  const room = memoryMb * 1_048_576 * BODY_MEMORY_SHARE - state.bodyBytes;
  if (declared > room) return 'full';
  let body: Buffer | undefined;
  try {
    body = await readWholeBody(req, Math.min(limitBytes, room));
  } catch {
    // The customer has gone; the close of the answer ends the exchange.
    exchange.over = true;
    return undefined;
  }
  if (body === undefined && req.headers['transfer-encoding']) {
    return 'tooLarge';
  }
  state.bodyBytes += body?.length ?? 0;
  return body;
}

/** Offers the request to upstreams until it is answered or refused. */
async function dispatch(state: EntryState, exchange: Exchange): Promise<void> {
  const {board} = state;
  const now = board.now();
  if (now >= exchange.limitAt) {
    return finishRefused(state, exchange, 'deadlineTooShort');
  }
  const judgement = judgeRequest(board.suspects, exchange.fingerprint, now);
  if (judgement.action === 'refuse' || judgement.action === 'wait') {
    exchange.retryAfterMs = Math.max(judgement.retryAfterMs, 500);
    return finishRefused(state, exchange, 'suspectHeld');
  }
  const alone = judgement.action === 'alone';
  if (alone) beginAlone(board.suspects, exchange.fingerprint);
  exchange.timer = setTimeout(
    () => expire(state, exchange),
    exchange.limitAt - now,
  );
  try {
    while (!exchange.over) {
      const upstream = pickUpstream(state, exchange);
      if (!upstream) {
        finishUnserved(state, exchange);
        return;
      }
      const reply = await offer(state, exchange, upstream);
      if (exchange.over) return;
      if (takeReply(state, exchange, upstream, reply, alone)) return;
    }
  } finally {
    if (alone) endAlone(board.suspects, exchange.fingerprint);
  }
}

function pickUpstream(
  {board}: EntryState,
  exchange: Exchange,
): ListedUpstream | undefined {
  if (exchange.offers >= MAX_OFFERS) return undefined;
  return chooseTarget(
    board.balance,
    board.list.byService.get(exchange.service) ?? [],
    {
      dataCentre: board.settings.dataCentre,
      takenOut: board.list.takenOut,
      tried: exchange.tried,
      rank: exchange.route?.rank ?? 0,
      heavy: isHeavy(board, exchange.route),
    },
    board.random,
    board.now(),
  );
}

/** True when the requests and answers of a route are large on average. */
function isHeavy(board: SidecarBoard, route: MeshRoute | undefined): boolean {
  return (board.routeBytes.get(route?.name ?? '') ?? 0) > HEAVY_BYTES;
}

function noteBytes(
  board: SidecarBoard,
  exchange: Exchange,
  answer: HttpAnswer,
): void {
  const name = exchange.route?.name ?? '';
  const bytes = (exchange.body?.length ?? 0) + answer.body.length;
  const known = board.routeBytes.get(name) ?? bytes;
  board.routeBytes.set(name, known + BYTES_GAIN * (bytes - known));
}

async function offer(
  state: EntryState,
  exchange: Exchange,
  upstream: ListedUpstream,
): Promise<ForwardReply> {
  const {board, owner, client} = state;
  const {route, req, goalAt, limitAt} = exchange;
  const now = board.now();
  const request: ForwardRequest = {
    requestId: exchange.id,
    method: req.method ?? 'GET',
    target: req.url ?? '/',
    headers: exchange.headers,
    body: exchange.body,
    upstreamId: upstream.id,
    route: route?.name ?? '',
    rank: route?.rank ?? 0,
    goalMs: goalAt - now,
    limitMs: limitAt - now,
    fingerprint: exchange.fingerprint,
  };
  exchange.tried.add(upstream.id);
  exchange.offers++;
  exchange.upstream = upstream.id;
  noteTargetSend(board.balance, upstream.id);
  const {settings} = board;
  const own =
    upstream.host === settings.upstream.host &&
    upstream.port === settings.upstream.port;
  exchange.call = own
    ? owner.submit(request)
    : sendForward(client, upstream, settings.peerPort, request, now);
  const reply = await exchange.call.result;
  exchange.call = undefined;
  noteTargetEnd(board.balance, upstream.id, reply.report, board.now());
  return reply;
}

/** Takes in the end of an attempt; returns true when the request is over. */
function takeReply(
  state: EntryState,
  exchange: Exchange,
  upstream: ListedUpstream,
  reply: ForwardReply,
  suspect: boolean,
): boolean {
  const {board} = state;
  const now = board.now();
  switch (reply.kind) {
    case 'answer':
      exchange.arrivals++;
      noteBytes(board, exchange, reply.answer);
      if (reply.answer.status < 500 || !canResend(state, exchange, suspect)) {
        finishAnswered(state, exchange, reply.answer);
        return true;
      }
      exchange.failure = reply.answer;
      logRetry(state, exchange, 'answered', String(reply.answer.status));
      return false;
    case 'unsent':
      noteUnreachable(state, upstream, reply.code, now);
      exchange.outcome = combineOutcomes(exchange.outcome, 'connectFailed');
      return false;
    case 'refused':
      return takeRefusal(state, exchange, upstream, reply, suspect);
    case 'broken':
      if (reply.report === undefined) {
        noteUnreachable(state, upstream, reply.code, now);
      }
      exchange.arrivals++;
      exchange.outcome = reply.outcome;
      if (!canResend(state, exchange, suspect)) {
        finishRefused(state, exchange, reply.outcome);
        return true;
      }
      logRetry(state, exchange, reply.outcome, reply.code);
      return false;
    case 'aborted':
      return true;
  }
}

function takeRefusal(
  state: EntryState,
  exchange: Exchange,
  upstream: ListedUpstream,
  reply: Extract<ForwardReply, {kind: 'refused'}>,
  suspect: boolean,
): boolean {
  const {board} = state;
  const {outcome, arrived, retryAfterMs} = reply;
  exchange.outcome = combineOutcomes(exchange.outcome, outcome);
  if (retryAfterMs > 0) {
    exchange.retryAfterMs = Math.min(exchange.retryAfterMs, retryAfterMs);
  }
  if (outcome === 'leaving' || outcome === 'wrongOwner') {
    holdTarget(board.balance, upstream.id, LEAVING_HOLD_MS, board.now());
  } else if (outcome === 'full' || outcome === 'cold') {
    const rank = exchange.route?.rank ?? 0;
    noteFull(board.balance, upstream.id, rank, retryAfterMs, board.now());
  } else if (outcome === 'upstreamDown') {
    ejectTarget(board.balance, upstream.id, board.now());
  }
  if (!arrived) return false;
  exchange.arrivals++;
  if (canResend(state, exchange, suspect, true)) return false;
  finishRefused(state, exchange, exchange.outcome);
  return true;
}

function noteUnreachable(
  {board}: EntryState,
  upstream: ListedUpstream,
  code: string,
  now: number,
): void {
  const ms = ejectTarget(board.balance, upstream.id, now);
  if (ms === 0) return;
  count(board, 'entry_ejections');
  board.log.write('notable', 'ejected', {
    upstream: upstream.id,
    host: upstream.host,
    code,
    ms,
  });
}

/** True when the request may go to one more upstream; takes it from the budget. */
function canResend(
  {board}: EntryState,
  exchange: Exchange,
  suspect: boolean,
  notRun = false,
): boolean {
  const {route, arrivals, limitAt, offers} = exchange;
  if (!route || suspect || !(route.repeatable || notRun)) return false;
  if (arrivals >= route.attempts || offers >= MAX_OFFERS) return false;
  if (limitAt - board.now() < MIN_RESEND_MS) return false;
  if (!takeResend(board.resends, exchange.service)) {
    count(board, 'entry_resends_denied');
    return false;
  }
  count(board, 'entry_resends');
  return true;
}

/** Ends a request whose time is over. */
function expire(state: EntryState, exchange: Exchange): void {
  if (exchange.over) return;
  const {call} = exchange;
  if (!call) {
    finishRefused(state, exchange, exchange.outcome ?? 'deadlineTooShort');
    return;
  }
  // Whether it has run is known only to the other side.
  finishRefused(state, exchange, 'deadlineAfterSend');
  call.abort();
}

/** Ends a request for which no further upstream is left. */
function finishUnserved(state: EntryState, exchange: Exchange): void {
  const {failure, outcome} = exchange;
  if (failure) return finishAnswered(state, exchange, failure);
  const {board} = state;
  const listed = board.list.byService.get(exchange.service) ?? [];
  const some = listed.some(
    ({state, dataCentre}) =>
      state === 'live' && !board.list.takenOut.has(dataCentre),
  );
  finishRefused(state, exchange, outcome ?? (some ? 'full' : 'noUpstream'));
}

function finishAnswered(
  state: EntryState,
  exchange: Exchange,
  {status, headers, body, framed}: HttpAnswer,
): void {
  if (exchange.over) return;
  exchange.over = true;
  const {req, res} = exchange;
  const copy = copyAnswerHeaders(headers);
  const bodiless = req.method === 'HEAD' || status === 204 || status === 304;
  if (!framed) {
    // The customer learns the end of the body as this daemon did.
    copy.connection = 'close';
    res.useChunkedEncodingByDefault = false;
  } else if (!bodiless) copy['content-length'] = String(body.length);
  else if (headers['content-length'] !== undefined) {
    copy['content-length'] = headers['content-length'];
  }
  res.writeHead(status, copy);
  res.end(body);
  count(state.board, 'entry_answered');
  const elapsedMs = state.board.now() - exchange.startedAt;
  recordLatency(state.board.metrics, 'answers', elapsedMs);
  logRequest(state, exchange, 'answered', status);
}

/** Ends a request with a refusal that says truthfully whether it may have run. */
function finishRefused(
  state: EntryState,
  exchange: Exchange,
  outcome: Outcome,
): void {
  if (exchange.over) return;
  exchange.over = true;
  const {board} = state;
  const {res, req} = exchange;
  const {status} = OUTCOMES[outcome];
  const headers: Record<string, string> = {'content-length': '0'};
  if (status === 503) {
    headers['retry-after'] = computeRetryAfter(board, exchange);
  }
  count(board, `entry_refused_${outcome}`);
  logRequest(state, exchange, outcome, status);
  // An unread body would be taken for the next request.
  if (!req.complete) headers.connection = 'close';
  res.writeHead(status, headers);
  res.end();
  if (!req.complete) req.resume();
}

/** Time after which there may be room, s with fractions. */
function computeRetryAfter(board: SidecarBoard, exchange: Exchange): string {
  const {retryAfterMs, deadlineAt} = exchange;
  const hint = Number.isFinite(retryAfterMs)
    ? retryAfterMs
    : NO_UPSTREAM_RETRY_MS;
  // Spread, so that refused customers do not come back all at once.
  const spread = hint * (1 + board.random());
  const leftMs = Math.max(0, deadlineAt - board.now());
  const longest = Math.max(
    MIN_RETRY_AFTER_MS,
    Math.min(MAX_RETRY_AFTER_MS, leftMs / 3),
  );
  const ms = Math.min(longest, Math.max(MIN_RETRY_AFTER_MS, spread));
  return (ms / 1_000).toFixed(3);
}

function logRetry(
  {board}: EntryState,
  exchange: Exchange,
  reason: string,
  code: string,
): void {
  board.log.write('notable', 'resend', {
    request: exchange.id,
    route: exchange.route?.name,
    upstream: exchange.upstream,
    reason,
    code,
    arrivals: exchange.arrivals,
  });
}

function logRequest(
  {board}: EntryState,
  exchange: Exchange,
  outcome: Outcome | 'cancelled',
  status: number,
): void {
  const {route, startedAt, limitAt} = exchange;
  const now = board.now();
  const routine = outcome === 'answered' && status < 500;
  board.log.write(routine ? 'routine' : 'notable', 'request', {
    request: exchange.id,
    outcome: formatReason(outcome as Outcome),
    status,
    route: route?.name,
    service: exchange.service,
    version: exchange.version,
    upstream: exchange.upstream,
    offers: exchange.offers,
    arrivals: exchange.arrivals,
    ms: Math.round(now - startedAt),
    leftMs: Number.isFinite(limitAt) ? Math.round(limitAt - now) : undefined,
  });
}
