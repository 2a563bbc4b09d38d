import {
  type ApiKeyFault,
  type CostEstimate,
  type MeshOrganisation,
  type MeshRoute,
  type Outcome,
  type QuotaDecision,
  count,
} from '../internal.js';
import type {RequestTurn} from '../daemon/customer_server.js';
import type {SidecarBoard} from './board.js';
import {logRequest} from './finish.js';
import type {ForwardCall} from './forward.js';
import {readHeader} from './header_copy.js';
import type {HttpAnswer, HttpClient} from './http_client.js';
import type {Owner} from './owner.js';
import type {IncomingMessage, ServerResponse} from 'node:http';

/** Maximum attempts to forward one request, including refused ones. */
export const MAX_FORWARDS = 5;

/** State of the entry of one daemon. */
export interface EntryState {
  readonly board: SidecarBoard;
  readonly owner: Owner;
  readonly client: HttpClient;
  /** Requests in progress. */
  running: number;
}

/** One request of a customer in progress. */
export interface Exchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly turn: RequestTurn;
  readonly id: string;
  /** Monotonic time at which the head was read, ms. */
  readonly readAt: number;
  /** Earliest time at which the request may have arrived, ms. */
  readonly startedAt: number;
  /** Time that the customer and the route allow, ms. */
  allowedMs?: number;
  route?: MeshRoute;
  /** Organisation of the customer; undefined for requests without one. */
  organisation?: MeshOrganisation;
  /** Whether the quota of the organisation allows the request. */
  quota?: QuotaDecision;
  /** Rank in queues: that of the organisation, else of the route. */
  rank: number;
  /** Why the request has no organisation although its route needs one. */
  keyFault?: ApiKeyFault;
  /** Version of the configuration in use. */
  version: number;
  service: string;
  /** Monotonic time up to which an answer has its full value, ms. */
  goalAt: number;
  /**
   * Earliest time after which an answer may be useless, ms: the end of the
   * customer's deadline or of the route's timeout as counted from `startedAt`,
   * less the time to send an answer. Nothing is sent to an upstream later, and
   * upstreams are given the time up to it.
   */
  deadlineAt: number;
  /**
   * Time until which the answer of an upstream is awaited, ms: the same deadline
   * as counted from `readAt`, so that no own answer comes before it.
   */
  expiresAt: number;
  /** Monotonic time of the customer's deadline (default: the route's timeout),
   * less the time to send an answer, ms; bounds `retry-after`. */
  customerDeadlineAt: number;
  /** Latest time of the customer's deadline (default: the route's timeout), ms;
   * nobody waits for an answer that is still being written then. */
  customerExpiresAt: number;
  /** End-to-end headers, alternating names and values. */
  headers: string[];
  body: Buffer | undefined;
  /** Releases the memory that the body counts for. */
  releaseBody?: () => void;
  fingerprint: string;
  /** Expected cost; set at the first choice of an upstream. */
  cost?: CostEstimate;
  /** Ids of the upstreams that were chosen so far. */
  readonly tried: Set<string>;
  /** Attempts that reached an upstream, or may have. */
  attempts: number;
  /** All attempts to forward, including refused ones. */
  forwards: number;
  /** Refusals for lack of slots so far. */
  fullRefusals: number;
  /** Outcome to report if no further attempt succeeds. */
  outcome?: Outcome;
  /** Latest error answer (status 5xx) of an upstream. */
  errorAnswer?: HttpAnswer;
  /** Shortest retry time named by a refusal, ms; Infinity if none. */
  retryAfterMs: number;
  /** Upstream of the latest attempt. */
  upstreamId: string;
  call?: ForwardCall;
  /** Cancels the timeout at `deadlineAt`. */
  cancelTimeout?: () => void;
  /** True once the request was answered, refused or cancelled. */
  ended: boolean;
}

/** Registers a request until its response closes; cancels it when the customer
 * disconnects first. */
export function beginExchange(
  state: EntryState,
  req: IncomingMessage,
  res: ServerResponse,
  turn: RequestTurn,
): Exchange {
  const {board} = state;
  // The time that a request waits unread counts towards its deadline.
  const readAt = board.now() - turn.waitedMs;
  const startedAt = readAt - board.lag.read();
  const exchange: Exchange = {
    req,
    res,
    turn,
    id: readHeader(req.headers, board.names.requestId) ?? '',
    readAt,
    startedAt,
    rank: 0,
    version: 0,
    service: '',
    goalAt: Infinity,
    deadlineAt: Infinity,
    expiresAt: Infinity,
    customerDeadlineAt: Infinity,
    customerExpiresAt: Infinity,
    headers: [],
    body: undefined,
    fingerprint: '',
    tried: new Set(),
    attempts: 0,
    forwards: 0,
    fullRefusals: 0,
    retryAfterMs: Infinity,
    upstreamId: '',
    ended: false,
  };
  state.running++;
  count(board, 'entry_requests');
  res.once('close', () => {
    state.running--;
    exchange.releaseBody?.();
    exchange.errorAnswer?.release();
    exchange.cancelTimeout?.();
    if (exchange.ended) return;
    exchange.ended = true;
    exchange.call?.abort();
    count(board, 'entry_cancelled');
    logRequest(state, exchange, 'cancelled', 0);
  });
  return exchange;
}
