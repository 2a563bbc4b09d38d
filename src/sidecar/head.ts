import {
  type MeshRoute,
  type Outcome,
  type RouteTable,
  chooseService,
  count,
  creditRequest,
  findOrganisation,
  findRoute,
  listHeader,
  listUpstreams,
  refuseByCopy,
} from '../internal.js';
import {measureHead} from '../daemon/customer_server.js';
import type {SidecarBoard} from './board.js';
import {createBodyHold, readCountedBody} from './body_budget.js';
import type {EntryState, Exchange} from './exchange.js';
import {copyRawHeaders, countHeader, readHeader} from './header_copy.js';
import {hasBody} from './inbound.js';

/** Time reserved for sending the answer to the customer, ms. */
const ANSWER_MARGIN_MS = 20;

/** Maximum share of a deadline that is reserved for sending the answer. */
const ANSWER_MARGIN_SHARE = 0.1;

/** Outcome of a request that the configuration does not allow. */
function refuse(board: SidecarBoard, outcome: Outcome): Outcome {
  return refuseByCopy(outcome, board.readMirrorAge());
}

/** Checks the request head and sets the fields that depend on the route;
 * returns an outcome when the request is refused. */
export function checkHead(
  {board}: EntryState,
  exchange: Exchange,
  table: RouteTable,
): Outcome | undefined {
  const {req} = exchange;
  const {headers, rawHeaders} = req;
  if (measureHead(req) > table.config.limits.headerBytes) {
    return refuse(board, 'tooLarge');
  }
  if (exchange.id === '') return 'badRequest';
  // The HTTP client does not send it, as if the upstream were down.
  if (countHeader(rawHeaders, 'host') > 1) return 'badRequest';
  const target = req.url ?? '';
  const route = findRoute(table, headers.host ?? '', target);
  exchange.version = table.config.version;
  if (!route) return refuse(board, 'unknownRoute');
  exchange.route = route;
  const refusal = checkOrganisation(board, exchange, table, route);
  if (refusal) return refusal;
  const {names} = board;
  const deadlineMs = Number(readHeader(headers, names.deadlineMs) ?? NaN);
  const requestedMs = Number.isFinite(deadlineMs)
    ? deadlineMs
    : route.timeoutMs;
  const allowedMs = Math.min(route.timeoutMs, requestedMs);
  const marginMs = Math.min(ANSWER_MARGIN_MS, allowedMs * ANSWER_MARGIN_SHARE);
  const {readAt, startedAt} = exchange;
  exchange.allowedMs = allowedMs;
  exchange.goalAt = startedAt + route.goalMs - marginMs;
  exchange.deadlineAt = Math.min(
    startedAt + allowedMs - marginMs,
    board.exitAt,
  );
  exchange.expiresAt = Math.min(readAt + allowedMs, board.exitAt);
  exchange.customerDeadlineAt = startedAt + requestedMs - marginMs;
  exchange.customerExpiresAt = readAt + requestedMs;
  exchange.headers = copyRawHeaders(rawHeaders, headers.connection, [
    names.caller,
    names.deadlineMs,
    names.expectedUpstream,
    ...(table.keys ? [names.authorization, names.organisation] : []),
  ]);
  board.refreshSettings();
  exchange.headers.push(names.caller, board.settings.service);
  if (exchange.organisation) {
    exchange.headers.push(names.organisation, exchange.organisation.name);
  }
  exchange.service = chooseService(board.splits, route, board.random);
  creditRequest(
    board.resends,
    exchange.service,
    listUpstreams(board.list).length,
  );
  return undefined;
}

/** Sets the organisation of the request; returns an outcome when the route needs
 * one and the request has none. */
function checkOrganisation(
  board: SidecarBoard,
  exchange: Exchange,
  {keys}: RouteTable,
  route: MeshRoute,
): Outcome | undefined {
  exchange.rank = route.rank;
  if (!keys) return undefined;
  const {rawHeaders} = exchange.req;
  const values = listHeader(rawHeaders, board.names.authorization);
  const {organisation, fault} = findOrganisation(keys, values);
  exchange.organisation = organisation;
  exchange.rank = organisation?.rank ?? route.rank;
  if (organisation || route.public) return undefined;
  exchange.keyFault = fault;
  return refuse(board, 'unauthorised');
}

/** Reads the body within the configured limit and the free memory; returns an
 * outcome when it is too large. */
export async function receiveBody(
  state: EntryState,
  exchange: Exchange,
  limitBytes: number,
): Promise<Buffer | undefined | Outcome> {
  const {req} = exchange;
  if (!hasBody(req)) return undefined;
  const {bodies} = state.board;
  const hold = createBodyHold(bodies);
  exchange.releaseBody = hold.release;
  try {
    const body = await readCountedBody(bodies, hold, req, limitBytes);
    if (body === 'full') count(state.board, 'entry_refused_body_memory');
    return body === 'tooLarge' ? refuse(state.board, body) : body;
  } catch {
    // The customer disconnected; the close of the response ends the exchange.
    exchange.ended = true;
    return undefined;
  }
}
