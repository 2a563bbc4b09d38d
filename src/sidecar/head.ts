import {
  type Outcome,
  type RouteTable,
  chooseService,
  creditRequest,
  findRoute,
  listUpstreams,
} from '../internal.js';
import type {EntryState, Exchange} from './exchange.js';
import {copyRawHeaders, readHeader} from './header_copy.js';
import {readOptionalBody} from './inbound.js';

/** Time reserved for sending the answer to the customer, ms. */
const ANSWER_MARGIN_MS = 20;

/** Maximum share of a deadline that is reserved for sending the answer. */
const ANSWER_MARGIN_SHARE = 0.1;

/** Share of the process memory that request bodies may use. */
const BODY_MEMORY_SHARE = 0.15;

/** Checks the request head and sets the fields that depend on the route;
 * returns an outcome when the request is refused. */
export function checkHead(
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
  const deadlineMs = Number(readHeader(headers, names.deadlineMs) ?? NaN);
  const requestedMs = Number.isFinite(deadlineMs)
    ? deadlineMs
    : route.timeoutMs;
  const marginMs = Math.min(
    ANSWER_MARGIN_MS,
    requestedMs * ANSWER_MARGIN_SHARE,
  );
  const timeoutMs = Math.min(route.timeoutMs, requestedMs - marginMs);
  const {startedAt} = exchange;
  exchange.goalAt = startedAt + route.goalMs - marginMs;
  exchange.deadlineAt = Math.min(startedAt + timeoutMs, board.exitAt);
  exchange.customerDeadlineAt = startedAt + requestedMs - marginMs;
  exchange.headers = copyRawHeaders(rawHeaders, headers.connection, [
    names.caller,
    names.deadlineMs,
    names.expectedUpstream,
  ]);
  exchange.headers.push(names.caller, settings.service);
  exchange.service = chooseService(board.splits, route, board.random);
  creditRequest(
    board.resends,
    exchange.service,
    listUpstreams(board.list).length,
  );
  return undefined;
}

/** Reads the body within the configured limit and the free memory; returns an
 * outcome when it is too large. */
export async function receiveBody(
  state: EntryState,
  exchange: Exchange,
  limitBytes: number,
): Promise<Buffer | undefined | Outcome> {
  const {req} = exchange;
  const declared = Number(req.headers['content-length'] ?? 0);
  if (declared > limitBytes) return 'tooLarge';
  const {memoryMb} = state.board.settings;
  const freeBytes = memoryMb * 1_048_576 * BODY_MEMORY_SHARE - state.bodyBytes;
  if (declared > freeBytes) return 'full';
  let body: Buffer | undefined;
  try {
    body = await readOptionalBody(req, Math.min(limitBytes, freeBytes));
  } catch {
    // The customer disconnected; the close of the response ends the exchange.
    exchange.ended = true;
    return undefined;
  }
  if (body === undefined && req.headers['transfer-encoding']) {
    return 'tooLarge';
  }
  state.bodyBytes += body?.length ?? 0;
  return body;
}
