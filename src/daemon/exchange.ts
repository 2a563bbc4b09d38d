import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  HEADERS,
  OUTCOMES,
  count,
  formatReason,
  resolveBoundKeyOutcome,
  recordEvent,
  setReplyTimeout,
  type ApiKeyFault,
  type Board,
  type Effect,
  type MeshOrganisation,
  type Outcome,
} from '../internal.js';
import type {Attempt} from './attempt.js';
import type {RequestTurn} from './customer_server.js';
import type {Forwarder} from './forward.js';
import {sendRefusal} from './http.js';
import type {BodyBudget, CustomerRequest} from './customer_request.js';

/** Time a customer may continue to send a body after a refusal, ms. */
export const MAX_BODY_DISCARD_MS = 2_000;

/** Refusals recorded on the time line per second; more are only counted. */
const REFUSAL_EVENTS_PER_S = 20;

/** Dependencies of an entry. */
export interface EntryDeps {
  readonly board: Board;
  /** Key that all peers share. */
  readonly peerKey: string;
  /** Monotonic clock, ms. */
  now(): number;
  /** Executes the effects that report crashes to peers. */
  execute?(effects: Effect[]): void;
  /** Called when a customer request has ended. */
  onFinished?(outcome: Outcome | 'cut' | 'cancelled', elapsedMs: number): void;
  readonly forwarder?: Forwarder;
}

/** State of an entry. */
export interface EntryState {
  readonly deps: EntryDeps;
  readonly forwarder: Forwarder;
  readonly bodyBudget: BodyBudget;
  readonly running: Set<Exchange>;
  stopping: boolean;
  lastSequence: number;
  /** Refusals that may still be recorded in the current second. */
  refusalEventsLeft: number;
  refusalWindowStartedAt: number;
  onIdle?: () => void;
}

/** One customer request in progress. */
export interface Exchange {
  readonly id: string;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly turn: RequestTurn;
  /** Monotonic time at which the head was read, ms. */
  readonly startedAt: number;
  deadlineAt: number;
  request?: CustomerRequest;
  /** Organisation of the customer; undefined for requests without one. */
  organisation?: MeshOrganisation;
  /** Why the request has no organisation although its route needs one. */
  keyFault?: ApiKeyFault;
  /** Owner named by a bound key. */
  boundOwner?: string;
  body: Buffer;
  fingerprint: string;
  /** Retries left for the chain of calls. */
  budget: number;
  readonly tried: Set<string>;
  crashes: number;
  /** Combined outcome of the attempts so far. */
  outcome?: Outcome;
  /** Upstream of the latest attempt. */
  upstream: string;
  attempt?: Attempt;
  /** Cancels the end of the request at its deadline. */
  cancelTimeout?: () => void;
  /** True once the request is answered or refused or the customer is gone. */
  finished: boolean;
  result?: Outcome | 'cut';
}

/** Creates the state of an entry without requests. */
export function createEntryState(
  deps: EntryDeps,
  forwarder: Forwarder,
): EntryState {
  return {
    deps,
    forwarder,
    bodyBudget: {bytes: 0},
    running: new Set(),
    stopping: false,
    lastSequence: 0,
    refusalEventsLeft: REFUSAL_EVENTS_PER_S,
    refusalWindowStartedAt: 0,
  };
}

/** Registers a customer request until its response is closed. */
export function beginExchange(
  state: EntryState,
  req: IncomingMessage,
  res: ServerResponse,
  turn: RequestTurn,
): Exchange {
  const {board, now} = state.deps;
  const sequence = (++state.lastSequence).toString(36);
  // The time that a request waits for earlier answers counts as well.
  const startedAt = now() - turn.waitedMs;
  const exchange: Exchange = {
    id: `${board.self.id}-${board.self.boot.slice(0, 8)}-${sequence}`,
    req,
    res,
    turn,
    startedAt,
    deadlineAt: Infinity,
    body: Buffer.alloc(0),
    fingerprint: '',
    budget: 0,
    tried: new Set(),
    crashes: 0,
    upstream: '',
    finished: false,
  };
  count(board, 'entry_requests');
  state.running.add(exchange);
  res.on('drain', () => exchange.attempt?.resume());
  res.once('close', () => endExchange(state, exchange));
  return exchange;
}

/**
 * Tells a customer of a stopping daemon not to reuse the connection, unless later
 * requests of it have been read. Called before the head of an answer is written.
 */
export function announceClose({deps}: EntryState, {res, turn}: Exchange): void {
  const leaving = deps.board.self.state === 'leaving';
  if (leaving && !res.headersSent && turn.isLast()) {
    res.setHeader('connection', 'close');
  }
}

function endExchange(state: EntryState, exchange: Exchange): void {
  const {board, now, onFinished} = state.deps;
  const {res} = exchange;
  exchange.finished = true;
  exchange.cancelTimeout?.();
  state.bodyBudget.bytes -= exchange.body.length;
  // The customer closed the connection before the response was complete.
  if (!res.writableFinished) {
    exchange.attempt?.cancel();
    if (!exchange.result) count(board, 'entry_cancelled');
  }
  const result = exchange.result ?? 'cancelled';
  onFinished?.(result, now() - exchange.startedAt);
  state.running.delete(exchange);
  if (state.running.size === 0) state.onIdle?.();
}

/**
 * Ends a request with a refusal. `fromOwner` says that the owner itself
 * reported the outcome; without it a bound key is never reported as not run.
 */
export function refuse(
  state: EntryState,
  exchange: Exchange,
  rawOutcome: Outcome,
  fromOwner = false,
  extraHeaders: Record<string, string> = {},
): void {
  if (exchange.finished) return;
  exchange.finished = true;
  const bound = exchange.boundOwner !== undefined;
  const outcome =
    bound && !fromOwner ? resolveBoundKeyOutcome(rawOutcome) : rawOutcome;
  exchange.result = outcome;
  const {board} = state.deps;
  count(board, 'entry_refused');
  count(board, `entry_refused_${OUTCOMES[outcome].verdict}`);
  recordRefusal(state, exchange, outcome);
  const {req, res} = exchange;
  announceClose(state, exchange);
  sendRefusal(res, outcome, exchange.id, extraHeaders);
  if (req.complete) return;
  // Discarding the body lets the customer read the refusal instead of a reset.
  req.resume();
  const cancelTimeout = setReplyTimeout(() => {
    if (!req.complete) req.destroy();
  }, MAX_BODY_DISCARD_MS);
  req.once('close', cancelTimeout);
}

function recordRefusal(
  state: EntryState,
  exchange: Exchange,
  outcome: Outcome,
): void {
  const {board, now} = state.deps;
  const at = now();
  if (at - state.refusalWindowStartedAt >= 1_000) {
    state.refusalWindowStartedAt = at;
    state.refusalEventsLeft = REFUSAL_EVENTS_PER_S;
  }
  if (state.refusalEventsLeft <= 0) {
    count(board, 'entry_refusals_not_recorded');
    return;
  }
  state.refusalEventsLeft--;
  const detail = {
    request: exchange.id,
    reason: formatReason(outcome),
    verdict: OUTCOMES[outcome].verdict,
    route: exchange.request?.matched.name ?? '',
    upstream: exchange.upstream,
    version: exchange.request?.version.version ?? 0,
    ...(exchange.organisation && {organisation: exchange.organisation.name}),
    ...(exchange.keyFault && {keyFault: exchange.keyFault}),
  };
  recordEvent(board.timeline, 'refused', detail, at);
}

/** Sends a JSON response that is not a refusal. */
export function sendJson(
  state: EntryState,
  exchange: Exchange,
  status: number,
  value: unknown,
  extraHeaders: Record<string, string>,
): void {
  const body = JSON.stringify(value);
  exchange.finished = true;
  exchange.result = 'answered';
  announceClose(state, exchange);
  exchange.res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [HEADERS.id]: exchange.id,
    ...extraHeaders,
  });
  exchange.res.end(body);
}
