import {type MeshRoute, type Outcome, count} from '../internal.js';
import type {SidecarBoard} from './board.js';
import {logRequest} from './finish.js';
import type {ForwardCall} from './forward.js';
import {readOne} from './header_copy.js';
import type {HttpAnswer, HttpClient} from './http_client.js';
import type {Owner} from './owner.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';

/** Daemons that one request may be offered to, refusals included. */
export const MAX_OFFERS = 5;

/** State of the entry of one daemon. */
export interface EntryState {
  readonly board: SidecarBoard;
  readonly owner: Owner;
  readonly client: HttpClient;
  running: number;
  /** Connections with a request in progress. */
  readonly busy: WeakSet<Duplex>;
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
