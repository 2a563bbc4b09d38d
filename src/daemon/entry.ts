import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import {
  HEADERS,
  KEYS_PATH,
  KEY_LIFETIME_MS,
  API_KEY_CHALLENGE,
  TAKEOVER_MS,
  checkPause,
  chooseUpstream,
  combineOutcomes,
  computeFingerprint,
  computeSourceAge,
  count,
  findCandidates,
  findOrganisation,
  getApiKeys,
  listHeader,
  listMembers,
  matchRoute,
  mintKey,
  normalizePath,
  parseKey,
  refuseByCopy,
  setReplyTimeout,
  type MatchedRoute,
  type MemberRecord,
  type Version,
} from '../internal.js';
import type {RequestTurn} from './customer_server.js';
import {dispatchRequest} from './dispatch.js';
import {
  beginExchange,
  createEntryState,
  refuse,
  sendJson,
  type EntryDeps,
  type EntryState,
  type Exchange,
} from './exchange.js';
import {createForwarder} from './forward.js';
import {answerClientError} from './http.js';
import {
  bufferBody,
  checkHead,
  type CustomerRequest,
} from './customer_request.js';

/** Dependencies of an entry. */
export type {EntryDeps} from './exchange.js';

/** Request handler of the customer port. */
export interface Entry {
  (req: IncomingMessage, res: ServerResponse, turn: RequestTurn): void;
  /** Refuses new requests; resolves when those in progress have ended. */
  stop(): Promise<void>;
  /** Answers malformed HTTP and ends the writing side. */
  answerError(err: Error, socket: Duplex): void;
  /** Returns the number of customer requests in progress. */
  countRunning(): number;
}

/** Creates the handler of the customer port. */
export function createEntry(deps: EntryDeps): Entry {
  const forwarder = deps.forwarder ?? createForwarder();
  const state = createEntryState(deps, forwarder);
  const handler = (
    req: IncomingMessage,
    res: ServerResponse,
    turn: RequestTurn,
  ): void => {
    const exchange = beginExchange(state, req, res, turn);
    serveRequest(state, exchange).catch(() => {
      count(deps.board, 'entry_errors');
      // It is not known here whether a byte was sent.
      refuse(state, exchange, 'connectionBroken');
    });
  };
  return Object.assign(handler, {
    stop: () => stopEntry(state),
    answerError: (err: Error, socket: Duplex) =>
      respondToClientError(state, err, socket),
    countRunning: () => state.running.size,
  });
}

async function serveRequest(
  state: EntryState,
  exchange: Exchange,
): Promise<void> {
  const {board} = state.deps;
  if (state.stopping) return refuse(state, exchange, 'leaving');
  const version = board.config.inForce;
  const {req} = exchange;
  // The key is read before the checks below, because their refusals must not
  // report a bound key as not run.
  readBoundKey(state, exchange);
  if (!version) return refuse(state, exchange, 'noConfig');
  // After a pause, a request may be read before the first tick.
  checkPause(board, state.deps.now());
  if (board.viewStale) return refuse(state, exchange, 'staleView');
  if (req.url?.split('?', 1)[0] === KEYS_PATH) {
    return serveKey(state, exchange, version);
  }
  const request = checkHead(req, version);
  if (typeof request === 'string') return refuse(state, exchange, request);
  exchange.request = request;
  exchange.budget = request.budget;
  if (!checkOrganisation(state, exchange, version, request.matched)) return;
  startDeadlineTimer(state, exchange, request.timeoutMs);
  if (exchange.finished || !checkKey(state, exchange, request)) return;
  const body = await bufferBody(req, state.bodyBudget);
  if (exchange.finished) {
    if (typeof body !== 'string') state.bodyBudget.bytes -= body.length;
    return;
  }
  if (body === 'gone') return;
  if (typeof body === 'string') return refuse(state, exchange, body);
  exchange.body = body;
  const {method, target} = request;
  exchange.fingerprint = computeFingerprint(method, target, body);
  // The process may have been paused while it read the body.
  checkPause(board, state.deps.now());
  if (board.viewStale) return refuse(state, exchange, 'staleView');
  await dispatchRequest(state, exchange, request);
}

/** Sets the organisation of the request; refuses it when the route needs one and
 * the request has none. Returns true to proceed. */
function checkOrganisation(
  state: EntryState,
  exchange: Exchange,
  version: Version,
  {route}: MatchedRoute,
): boolean {
  const keys = getApiKeys(version.document);
  if (!keys) return true;
  const {rawHeaders} = exchange.req;
  const values = listHeader(rawHeaders, 'authorization');
  const {organisation, fault} = findOrganisation(keys, values);
  exchange.organisation = organisation;
  if (organisation || route.public) return true;
  exchange.keyFault = fault;
  const {board, now} = state.deps;
  count(board, `entry_key_${fault}`);
  const ageMs = computeSourceAge(board, now());
  // A reply older than a takeover says that the source cannot be read.
  const outcome = refuseByCopy(
    'unauthorised',
    ageMs < 0 ? Infinity : ageMs,
    TAKEOVER_MS,
  );
  const challenge = outcome === 'unauthorised' ? API_KEY_CHALLENGE : {};
  refuse(state, exchange, outcome, false, challenge);
  return false;
}

function readBoundKey(state: EntryState, exchange: Exchange): void {
  const text = exchange.req.headers[HEADERS.key];
  if (typeof text !== 'string') return;
  exchange.boundOwner = parseKey(state.deps.peerKey, text)?.owner;
}

function startDeadlineTimer(
  state: EntryState,
  exchange: Exchange,
  timeoutMs: number,
): void {
  exchange.deadlineAt = exchange.startedAt + timeoutMs;
  const remainingMs = exchange.deadlineAt - state.deps.now();
  if (remainingMs <= 0) return refuse(state, exchange, 'deadlineBeforeSend');
  exchange.cancelTimeout = setReplyTimeout(() => {
    if (exchange.attempt) {
      exchange.attempt.expire();
      return;
    }
    const {outcome} = exchange;
    const combined = combineOutcomes(outcome, 'deadlineBeforeSend');
    refuse(state, exchange, combined);
  }, remainingMs);
}

/** Refuses a key that cannot be used; returns true to proceed. */
function checkKey(
  state: EntryState,
  exchange: Exchange,
  request: CustomerRequest,
): boolean {
  const {key, matched, version} = request;
  if (key === undefined || exchange.boundOwner !== undefined) return true;
  if (key.startsWith('bk1~')) {
    refuse(state, exchange, 'badKey');
    return false;
  }
  if (matched.route.idempotent) return true;
  const owner = pickKeyOwner(state, version, matched.route.service);
  if (!owner) {
    refuse(state, exchange, 'noUpstream');
    return false;
  }
  const extraHeaders = {[HEADERS.key]: mintBoundKey(state, owner)};
  refuse(state, exchange, 'keyNotBound', false, extraHeaders);
  return false;
}

/** Chooses the owner that a new key is bound to; its boot must be known. */
function pickKeyOwner(
  state: EntryState,
  version: Version,
  service: string,
): MemberRecord | undefined {
  const {board, now} = state.deps;
  const candidates = findCandidates(
    version.document,
    service,
    listMembers(board, {service}),
  ).filter(record => record.boot !== '');
  const {dataCentre, region} = board.self;
  const context = {dataCentre, region};
  return chooseUpstream(
    board.routing,
    candidates,
    context,
    board.random,
    now(),
  );
}

function mintBoundKey(state: EntryState, owner: MemberRecord): string {
  return mintKey(state.deps.peerKey, {
    owner: owner.id,
    boot: owner.boot,
    expiresAt: Date.now() + KEY_LIFETIME_MS,
    // Two requests with one key would count as one, so a nonce must be unique
    // among all daemons.
    nonce: randomUUID(),
  });
}

/** Serves `KEYS_PATH`: mints a key for the route of `path` and `method`. */
function serveKey(
  state: EntryState,
  exchange: Exchange,
  version: Version,
): void {
  const {req} = exchange;
  const query = new URLSearchParams((req.url ?? '').split('?')[1] ?? '');
  const path = normalizePath((query.get('path') ?? '').split('?', 1)[0]);
  if (req.method !== 'POST' || path === undefined) {
    return refuse(state, exchange, 'badRequest');
  }
  const method = query.get('method') ?? 'POST';
  const matched = matchRoute(version.document, method, path);
  if (!matched) return refuse(state, exchange, 'unknownRoute');
  if (!checkOrganisation(state, exchange, version, matched)) return;
  const owner = pickKeyOwner(state, version, matched.route.service);
  if (!owner) return refuse(state, exchange, 'noUpstream');
  const key = mintBoundKey(state, owner);
  count(state.deps.board, 'entry_keys_minted');
  sendJson(state, exchange, 201, {key}, {[HEADERS.key]: key});
}

async function stopEntry(state: EntryState): Promise<void> {
  state.stopping = true;
  if (state.running.size > 0) {
    await new Promise<void>(resolve => (state.onIdle = resolve));
  }
  await state.forwarder.close();
}

function respondToClientError(
  state: EntryState,
  err: Error,
  socket: Duplex,
): void {
  count(state.deps.board, 'entry_bad_http');
  answerClientError(err, socket);
}
