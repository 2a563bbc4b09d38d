import {
  count,
  refuseQueued,
  isCold,
  startQueued,
  setCold,
} from '../internal.js';
import {type SidecarBoard, findOwnUpstream} from './board.js';
import type {ForwardRequest} from './forward.js';
import {readOne} from './header_copy.js';
import type {HttpClient} from './http_client.js';
import type {IncomingHttpHeaders} from 'node:http';

/** Time for the answer of a health check, ms. */
const HEALTH_TIMEOUT_MS = 1_500;

/** Pause between health checks while the upstream does not answer, ms. */
const HEALTH_RETRY_MS = 300;

/** Health checks in a row without the answer of an upstream that is taken as
 * merely busy; after them requests are let through at the cold rate. */
const MAX_CHECKS = 40;

/** State of the owner of one upstream. */
export interface OwnerState {
  readonly board: SidecarBoard;
  readonly client: HttpClient;
  readonly reportCrash: (fingerprints: string[]) => void;
  readonly running: Set<ForwardRequest>;
  active: number;
  checking: boolean;
  stopped: boolean;
  /** Monotonic time of the upstream's newest answer to a request, ms. */
  answeredAt: number;
  /** Incarnation whose health is known. */
  startedAt: number;
  /** True while the data centre is taken out. */
  takenOut: boolean;
  /** True once the health of the upstream has been asked for. */
  initialCheckStarted: boolean;
  queueTimer?: NodeJS.Timeout;
}

/** Takes the upstream as cold until a health check has answered. */
export function handleRestart(state: OwnerState): void {
  const {board} = state;
  setCold(board.limiter, Infinity, board.now());
  startHealthCheck(state, 'restart');
}

/**
 * Takes a broken exchange as a sign that the upstream may have ended, and asks
 * it. Only a refused connection makes it count as cold meanwhile: an upstream
 * that ended is away for seconds, so a lost answer alone is no restart.
 */
export function handleBrokenExchange(
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
 * Asks the upstream for its health until it answers, and learns how long it
 * stays cold. Its word on being healthy is not used: requests show that.
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

async function checkHealth(
  state: OwnerState,
  suspects: string[],
): Promise<void> {
  const {board} = state;
  let unreported = suspects;
  for (let checks = 0; checks < MAX_CHECKS && !state.stopped; checks++) {
    const sentAt = board.now();
    const headers = await fetchHealth(state);
    if (headers) {
      applyHealth(state, headers);
      return;
    }
    // A busy upstream may turn the check away and answer requests.
    if (state.answeredAt >= sentAt && !isCold(board.limiter, sentAt)) return;
    if (!board.limiter.down) {
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

/** Headers of the health answer; undefined without an answer. */
async function fetchHealth(
  state: OwnerState,
): Promise<IncomingHttpHeaders | undefined> {
  const {board, client} = state;
  const {settings, table} = board;
  const {host, port} = settings.upstream;
  const own = findOwnUpstream(board);
  const service = table?.services.get(own?.service ?? settings.service);
  // The path is part of the configuration; without one there is no traffic.
  if (!service) return undefined;
  count(board, 'health_checks');
  const request = {
    method: 'GET',
    path: service.healthPath,
    headers: [],
    body: undefined,
  };
  const call = client.send(`http://${host}:${port}`, request, board.now());
  const timer = setTimeout(() => call.abort(), HEALTH_TIMEOUT_MS);
  const result = await call.result;
  clearTimeout(timer);
  return result.kind === 'answer' ? result.answer.headers : undefined;
}

function applyHealth(state: OwnerState, headers: IncomingHttpHeaders): void {
  const {board} = state;
  const now = board.now();
  const coldMs = Number(readOne(headers, board.names.coldMs) ?? 0);
  const own = findOwnUpstream(board);
  const listedMs = own ? own.coldUntil - now : 0;
  const forMs = Math.max(Number.isFinite(coldMs) ? coldMs : 0, listedMs, 0);
  setCold(board.limiter, forMs, now);
  const wasDown = board.limiter.down;
  board.limiter.down = false;
  board.log.write('always', 'upstreamUp', {
    coldMs: Math.round(forMs),
    wasDown,
    upstream: readOne(headers, board.names.upstreamId),
  });
}

/** Starts what may start, and again when the cold rate allows more. */
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
