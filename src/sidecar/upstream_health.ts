import {
  MAX_COLD_MS,
  count,
  refuseQueued,
  isCold,
  setReplyTimeout,
  startQueued,
  setCold,
} from '../internal.js';
import {applyHealthLimit} from './announcements.js';
import {type SidecarBoard, findOwnUpstream} from './board.js';
import type {ForwardRequest} from './forward.js';
import {readHeader} from './header_copy.js';
import {
  type AnswerHead,
  type HttpClient,
  CROSSED_ANSWER,
} from './http_client.js';
import type {IncomingHttpHeaders} from 'node:http';

/** Timeout of a health check, ms. */
const HEALTH_TIMEOUT_MS = 1_500;

/** Pause between health checks while the upstream does not answer, ms. */
const HEALTH_RETRY_MS = 300;

/** Consecutive unanswered health checks after which an upstream counts as busy
 * and no longer as down; requests are then admitted at the cold rate. */
const MAX_CHECKS = 40;

/** State of the owner of one upstream. */
export interface OwnerState {
  readonly board: SidecarBoard;
  readonly client: HttpClient;
  readonly reportCrash: (fingerprints: string[]) => void;
  readonly running: Set<ForwardRequest>;
  /** Number of queued and running requests. */
  active: number;
  checking: boolean;
  stopped: boolean;
  /** Monotonic time of the upstream's last answer to a request, ms. */
  answeredAt: number;
  /** Start of the last listed incarnation, wall ms; 0 before the first. */
  startedAt: number;
  /** Id in the latest answer to a health check. */
  checkedId?: string;
  /** True while this data centre is taken out of service. */
  takenOut: boolean;
  /** True once the first health check has been started. */
  initialCheckStarted: boolean;
  /** True while a health check asks whether the upstream is still warm. */
  isAskingWarm: boolean;
  /** Monotonic time at which the last of these checks was sent, ms. */
  warmAskedAt: number;
  /** True when the upstream refused the last check, which would have told whether it
   * is cold. */
  mustAskCold: boolean;
  /** Monotonic time since which the copy of the store is fresh again, ms. */
  copyFreshSince?: number;
  queueTimer?: NodeJS.Timeout;
}

/** Treats the upstream as cold until it answers a health check. */
export function handleRestart(state: OwnerState): void {
  const {board} = state;
  setCold(board.limiter, Infinity, board.now());
  startHealthCheck(state, 'restart');
}

/**
 * Starts a health check, because the upstream may have exited. Only a failed
 * connection marks it as cold meanwhile: an upstream that exits is away for
 * seconds, so a lost answer alone does not indicate a restart.
 */
export function handleBrokenCall(
  state: OwnerState,
  request: ForwardRequest,
  code: string,
  written: boolean,
): void {
  const {board} = state;
  count(board, 'owner_broken');
  board.log.write('notable', 'upstreamBroke', {
    request: request.requestId,
    upstream: request.upstreamId,
    code,
    written,
    inFlight: board.limiter.inFlight,
  });
  const suspects = [...state.running].map(item => item.fingerprint);
  if (written) suspects.push(request.fingerprint);
  if (!written && !isCold(board.limiter, board.now())) {
    setCold(board.limiter, Infinity, board.now());
  }
  startHealthCheck(state, code, suspects);
}

/**
 * Sends health checks until the upstream answers one, which says how long it
 * stays cold. The answer's status is ignored: requests show the health.
 */
export function startHealthCheck(
  state: OwnerState,
  cause: string,
  suspects: string[] = [],
): void {
  if (state.checking || state.stopped) return;
  state.checking = true;
  state.board.log.write('notable', 'healthCheck', {cause});
  void checkHealth(state, suspects).finally(() => {
    state.checking = false;
    processQueue(state);
  });
}

/** Asks again for the cold time that an upstream refused to tell; called with each
 * request, as the checks end after some time. */
export function askColdAgain(state: OwnerState): void {
  if (state.mustAskCold) startHealthCheck(state, 'refused');
}

async function checkHealth(
  state: OwnerState,
  suspects: string[],
): Promise<void> {
  const {board} = state;
  let unreported = suspects;
  for (let checks = 0; checks < MAX_CHECKS && !state.stopped; checks++) {
    const sentAt = board.now();
    const headers = await fetchHealth(state);
    const coldMs = headers && readColdMs(board, headers);
    if (headers && coldMs !== undefined) {
      applyHealth(state, headers, coldMs);
      state.mustAskCold = false;
      return;
    }
    if (headers) applyHealthLimit(board, headers);
    const isColdUnknown = isCold(board.limiter, sentAt);
    state.mustAskCold = headers !== undefined && isColdUnknown;
    // A busy upstream may drop the check and still answer requests.
    if (state.answeredAt >= sentAt && !isColdUnknown) break;
    if (headers) board.limiter.down = false;
    else if (!board.limiter.down) {
      board.limiter.down = true;
      board.log.write('always', 'upstreamDown', {});
      refuseQueued(board.limiter, 'upstreamDown');
      if (unreported.length > 0) state.reportCrash([...new Set(unreported)]);
      unreported = [];
    }
    await new Promise(resolve => setTimeout(resolve, HEALTH_RETRY_MS));
  }
  board.limiter.down = false;
}

/** Sends one health check; returns the headers of its answer, if any. A check
 * that gets the answer to a request is repeated on another connection. */
export async function fetchHealth(
  state: OwnerState,
  retries = 1,
): Promise<IncomingHttpHeaders | undefined> {
  const {board, client} = state;
  const {settings, table} = board;
  const {host, port} = settings.upstream;
  const own = findOwnUpstream(board);
  const service = table?.services.get(own?.service ?? settings.service);
  // Without a configuration there is no health path, and no traffic either.
  if (!service) return undefined;
  count(board, 'health_checks');
  const request = {
    method: 'GET',
    path: service.healthPath,
    headers: [],
    body: undefined,
    // A copy of the answer bears no id and would end the next request.
    closes: true,
    // A late answer to a request says nothing about a cold upstream. Only those
    // are signed; an id proves nothing, since some upstreams generate one.
    isOwnAnswer: ({headers}: AnswerHead) =>
      headers[board.names.signature] === undefined,
  };
  const call = client.send(`http://${host}:${port}`, request, board.now());
  const cancelTimeout = setReplyTimeout(() => call.abort(), HEALTH_TIMEOUT_MS);
  const result = await call.result;
  cancelTimeout();
  const crossed = result.kind === 'broken' && result.code === CROSSED_ANSWER;
  if (crossed && retries > 0) return fetchHealth(state, retries - 1);
  return result.kind === 'answer' ? result.answer.headers : undefined;
}

/** Reads how long the upstream stays cold by its health answer, ms; 0 if it is
 * warm, undefined if the answer does not say: a full upstream refuses health checks
 * as it does requests. */
export function readColdMs(
  {names}: SidecarBoard,
  headers: IncomingHttpHeaders,
): number | undefined {
  const text = readHeader(headers, names.coldMs);
  if (text === undefined && headers[names.notRun] !== undefined) {
    return undefined;
  }
  const coldMs = Number(text ?? 0);
  return Number.isFinite(coldMs)
    ? Math.max(0, Math.min(coldMs, MAX_COLD_MS))
    : 0;
}

function applyHealth(
  state: OwnerState,
  headers: IncomingHttpHeaders,
  coldMs: number,
): void {
  const {board} = state;
  const now = board.now();
  const own = findOwnUpstream(board);
  const listedColdMs = own ? own.coldUntil - now : 0;
  const coldForMs = Math.max(coldMs, listedColdMs);
  setCold(board.limiter, coldForMs, now);
  applyHealthLimit(board, headers);
  state.checkedId = readHeader(headers, board.names.upstreamId);
  const wasDown = board.limiter.down;
  board.limiter.down = false;
  board.log.write('always', 'upstreamUp', {
    coldMs: Math.round(coldForMs),
    wasDown,
    upstream: state.checkedId,
  });
}

/** Starts queued requests now, and again when the cold rate allows more. */
export function processQueue(state: OwnerState): void {
  const {board} = state;
  const waitMs = startQueued(board.limiter, board.now());
  if (waitMs === undefined || state.queueTimer) return;
  state.queueTimer = setTimeout(
    () => {
      state.queueTimer = undefined;
      processQueue(state);
    },
    Math.max(1, Math.ceil(waitMs)),
  );
}
