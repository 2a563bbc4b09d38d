import {type MeshRoute, type Outcome, count} from '../internal.js';
import type {SidecarBoard} from './board.js';
import {logRequest} from './finish.js';
import type {ForwardCall} from './forward.js';
import {readHeader} from './header_copy.js';
import type {HttpAnswer, HttpClient} from './http_client.js';
import type {Owner} from './owner.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';

/** Daemons that one request may be offered to, refusals included. */
export const MAX_FORWARDS = 5;

/** State of the entry of one daemon. */
export interface EntryState {
  readonly board: SidecarBoard;
  readonly owner: Owner;
  readonly client: HttpClient;
  running: number;
  /** Connections with a request in progress. */
  readonly busySockets: WeakSet<Duplex>;
  bodyBytes: number;
}

/** One request of a customer in progress. */
export interface Exchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly id: string;
  readonly startedAt: number;
  route?: MeshRoute;
  version: number;
  service: string;
  goalAt: number;
  deadlineAt: number;
  /** Time that the customer has left after the limit, ms. */
  customerDeadlineAt: number;
  headers: string[];
  body: Buffer | undefined;
  fingerprint: string;
  readonly tried: Set<string>;
  /** Upstreams that the request has reached. */
  attempts: number;
  forwards: number;
  outcome?: Outcome;
  /** Newest failure that an upstream itself has answered. */
  errorAnswer?: HttpAnswer;
  retryAfterMs: number;
  upstreamId: string;
  call?: ForwardCall;
  timer?: NodeJS.Timeout;
  ended: boolean;
}

/** Registers a request until its connection is done with it; a customer that
 * leaves takes its request along. */
export function beginExchange(
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
    id: readHeader(req.headers, board.names.requestId) ?? '',
    startedAt,
    version: 0,
    service: '',
    goalAt: Infinity,
    deadlineAt: Infinity,
    customerDeadlineAt: Infinity,
    headers: [],
    body: undefined,
    fingerprint: '',
    tried: new Set(),
    attempts: 0,
    forwards: 0,
    retryAfterMs: Infinity,
    upstreamId: '',
    ended: false,
  };
  state.running++;
  const {socket} = req;
  state.busySockets.add(socket);
  count(board, 'entry_requests');
  if (board.stopping) res.setHeader('connection', 'close');
  res.once('close', () => {
    state.running--;
    state.busySockets.delete(socket);
    state.bodyBytes -= exchange.body?.length ?? 0;
    clearTimeout(exchange.timer);
    if (exchange.ended) return;
    exchange.ended = true;
    exchange.call?.abort();
    count(board, 'entry_cancelled');
    logRequest(state, exchange, 'cancelled', 0);
  });
  return exchange;
}
