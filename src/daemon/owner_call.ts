import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  count,
  formatHlc,
  formatLoad,
  formatReason,
  HEADERS,
  MAX_OWNER_MARGIN_MS,
  MAX_RECORDED_BYTES,
  readLoad,
  setReplyTimeout,
  submit,
  VERDICT_HEADER_VALUES,
  type Admission,
  type Board,
  type KeyRecord,
  type KeyResult,
  type Outcome,
  type RecordedAnswer,
  type RequestEvent,
} from '../internal.js';
import {
  buildUpstreamHeaders,
  pickEndToEndHeaders,
  type ForwardedRequest,
} from './owner_forward.js';
import type {HealthMonitor} from './health.js';
import {sendRefusal} from './http.js';
import type {
  AnswerHeaders,
  AnswerSink,
  ExchangeResult,
  Upstream,
} from './upstream.js';

/** The part of the owner that its calls use. */
export interface CallContext {
  readonly board: Board;
  readonly admission: Admission;
  readonly health: HealthMonitor;
  readonly upstream: Upstream;
  readonly now: () => number;
}

/** One forwarded request, from its arrival to the end of its answer. */
export interface Call {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly forward: ForwardedRequest;
  /** Monotonic time after which it does not start, ms. */
  readonly deadlineAt: number;
  /** Aborted with 'deadline' or 'cancelled'. */
  readonly abort: AbortController;
  /** Cancels the abort at its deadline. */
  cancelTimeout: () => void;
  /** Record of the idempotency key, if this call is the run of that key. */
  record?: KeyRecord;
}

/** How a call ended; an answer has already been sent to the entry. */
export type CallResult =
  | {kind: 'refused'; outcome: Outcome | 'cancelled'}
  | {kind: 'unknown'; outcome: Outcome | 'cancelled'}
  | {kind: 'answered'; result: KeyResult};

/** Builds the headers that the owner sets on every response. */
export function buildOwnerHeaders(ctx: CallContext): Record<string, string> {
  return {
    [HEADERS.load]: formatLoad(readLoad(ctx.admission)),
    [HEADERS.boot]: ctx.board.self.boot,
    [HEADERS.hlc]: formatHlc(ctx.board.timeline.hlc),
  };
}

/** Sends a refusal and counts it. */
export function refuseCall(
  ctx: CallContext,
  res: ServerResponse,
  id: string,
  outcome: Outcome,
): void {
  count(ctx.board, `forward_refused_${outcome}`);
  if (!res.destroyed) sendRefusal(res, outcome, id, buildOwnerHeaders(ctx));
}

/** Responds to a repeat of a key with the recorded result of its only run. */
export function sendRecorded(
  ctx: CallContext,
  call: Call,
  result: KeyResult,
): void {
  const {res, forward} = call;
  count(ctx.board, 'forward_key_repeats');
  if (result.kind === 'mayHaveRun') {
    refuseCall(ctx, res, forward.id, 'keyMayHaveRun');
    return;
  }
  const answer =
    result.kind === 'answer' ? result.answer : createTooLargeAnswer();
  res.writeHead(answer.status, {
    ...answer.headers,
    ...buildAnswerHeaders(ctx, forward),
  });
  res.end(answer.body);
}

/** Waits for a slot, then sends the call to the upstream at most once. */
export async function runCall(
  ctx: CallContext,
  call: Call,
  body: Buffer,
  checkBeforeStart: () => Outcome | undefined,
): Promise<CallResult> {
  const {forward, deadlineAt, abort} = call;
  const admitted = await submit(ctx.admission, {
    priority: forward.priority,
    kind: forward.route,
    deadlineAt,
    signal: abort.signal,
    checkBeforeStart,
    run: report => sendCall(ctx, call, body, report),
  });
  if (admitted.started) return admitted.value;
  const {outcome} = admitted;
  const pastDeadline = outcome === 'cancelled' && isPastDeadline(call);
  return {
    kind: 'refused',
    outcome: pastDeadline ? 'deadlineBeforeSend' : outcome,
  };
}

/**
 * Lets a call wait for the answer of the upstream until the entry's own deadline,
 * at which the entry closes the connection.
 */
export function awaitAnswer(ctx: CallContext, call: Call): void {
  const {abort, deadlineAt} = call;
  if (abort.signal.aborted) return;
  call.cancelTimeout();
  const ms = deadlineAt + MAX_OWNER_MARGIN_MS - ctx.now();
  call.cancelTimeout = setReplyTimeout(() => abort.abort('deadline'), ms);
}

/** True if the call was aborted by its deadline, not by cancellation. */
export function isPastDeadline(call: Call): boolean {
  return call.abort.signal.reason === 'deadline';
}

function buildAnswerHeaders(
  ctx: CallContext,
  forward: ForwardedRequest,
): Record<string, string> {
  return {
    [HEADERS.id]: forward.id,
    [HEADERS.verdict]: VERDICT_HEADER_VALUES.ran,
    [HEADERS.reason]: formatReason('answered'),
    ...buildOwnerHeaders(ctx),
  };
}

function createTooLargeAnswer(): RecordedAnswer {
  const body = Buffer.from('{"error":"answer-not-recorded","verdict":"ran"}');
  return {status: 409, headers: {'content-type': 'application/json'}, body};
}

async function sendCall(
  ctx: CallContext,
  call: Call,
  body: Buffer,
  report: (event: RequestEvent) => void,
): Promise<CallResult> {
  const {forward, req, abort} = call;
  const remainingMs = call.deadlineAt - ctx.now();
  awaitAnswer(ctx, call);
  const request = {
    method: forward.method,
    path: forward.path,
    headers: buildUpstreamHeaders(req.headers, forward, remainingMs),
    body,
  };
  const untrack = ctx.health.trackRequest(forward.fingerprint);
  const reply = createReply(ctx, call, report);
  try {
    const exchange = await ctx.upstream.send(request, reply.sink, abort.signal);
    return await finishExchange(ctx, call, reply, exchange, report);
  } finally {
    untrack();
  }
}

interface Reply {
  readonly sink: AnswerSink;
  status: number;
  shed: boolean;
  /** False when only the end of the connection marks the end of the body. */
  hasFramedBody: boolean;
  headers: AnswerHeaders;
  /** Body so far; undefined without a key or when too large to record. */
  recorded?: Buffer[];
}

function createReply(
  ctx: CallContext,
  call: Call,
  report: (event: RequestEvent) => void,
): Reply {
  const {res, forward} = call;
  let resumePaused = () => {};
  const resume = () => resumePaused();
  res.on('drain', resume);
  // Repeats may wait for the rest of the answer after this connection closed.
  res.once('close', resume);
  const reply: Reply = {
    status: 0,
    shed: false,
    hasFramedBody: true,
    headers: {},
    recorded: call.forward.key && [],
    sink: {
      onHead(status, headers) {
        reply.shed = status === 503 && headers[HEADERS.shed] === 'not-run';
        reply.status = status;
        reply.hasFramedBody = isBodyFramed(forward.method, status, headers);
        reply.headers = pickEndToEndHeaders(headers);
        const answered = status < 500 ? 'answered' : 'errored';
        report(reply.shed ? 'shed' : answered);
        if (reply.shed || res.destroyed) return;
        const answerHeaders = buildAnswerHeaders(ctx, forward);
        res.writeHead(status, {...reply.headers, ...answerHeaders});
      },
      onData(chunk, resumeUpstream) {
        if (reply.shed) return true;
        report('progress');
        recordChunk(reply, chunk);
        if (res.destroyed || res.write(chunk)) return true;
        resumePaused = resumeUpstream;
        return false;
      },
    },
  };
  return reply;
}

function isBodyFramed(
  method: string,
  status: number,
  headers: AnswerHeaders,
): boolean {
  const hasNoBody = method === 'HEAD' || status === 204 || status === 304;
  const {
    'content-length': contentLength,
    'transfer-encoding': transferEncoding,
  } = headers;
  return (
    hasNoBody || contentLength !== undefined || transferEncoding !== undefined
  );
}

function recordChunk(reply: Reply, chunk: Buffer): void {
  if (!reply.recorded) return;
  reply.recorded.push(chunk);
  const size = reply.recorded.reduce((sum, part) => sum + part.length, 0);
  if (size > MAX_RECORDED_BYTES) reply.recorded = undefined;
}

async function finishExchange(
  ctx: CallContext,
  call: Call,
  reply: Reply,
  exchange: ExchangeResult,
  report: (event: RequestEvent) => void,
): Promise<CallResult> {
  if (!exchange.complete) {
    report(exchange.aborted ? 'abandoned' : 'failed');
    return exchange.aborted
      ? classifyAbort(call, exchange.written)
      : classifyFailure(ctx, call, exchange);
  }
  if (reply.shed) return {kind: 'refused', outcome: 'shed'};
  // A crash also ends the connection, so check whether the upstream is up.
  if (!reply.hasFramedBody && (await ctx.health.checkCrash())) {
    return {kind: 'unknown', outcome: 'upstreamCrashed'};
  }
  call.res.end();
  return {kind: 'answered', result: toKeyResult(reply)};
}

function classifyAbort(call: Call, written: boolean): CallResult {
  const pastDeadline = isPastDeadline(call);
  if (!written) {
    return {
      kind: 'refused',
      outcome: pastDeadline ? 'deadlineBeforeSend' : 'cancelled',
    };
  }
  return {
    kind: 'unknown',
    outcome: pastDeadline ? 'deadlineAfterSend' : 'cancelled',
  };
}

async function classifyFailure(
  ctx: CallContext,
  call: Call,
  exchange: Extract<ExchangeResult, {complete: false}>,
): Promise<CallResult> {
  if (exchange.code === 'UND_ERR_INVALID_ARG' && !exchange.written) {
    return {kind: 'refused', outcome: 'badRequest'};
  }
  const {written} = exchange;
  const crashed = await ctx.health.checkCrash(
    written ? call.forward.fingerprint : undefined,
  );
  if (!written) {
    return {
      kind: 'refused',
      outcome: crashed ? 'upstreamDown' : 'connectFailed',
    };
  }
  const outcome = crashed ? 'upstreamCrashed' : 'connectionBroken';
  return {kind: 'unknown', outcome};
}

function toKeyResult(reply: Reply): KeyResult {
  const {status, headers, recorded} = reply;
  if (!recorded) return {kind: 'ran', status};
  const answer = {status, headers, body: Buffer.concat(recorded)};
  return {kind: 'answer', answer};
}
