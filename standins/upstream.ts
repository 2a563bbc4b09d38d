import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {HEADERS} from '../src/internal.js';
import {
  createHttpServer,
  parseUrl,
  readNumber,
  sendJson,
} from './http_server.js';
import {createDelayedValue} from './delayed_value.js';
import {createLedger, type Ledger, type Run} from './ledger.js';
import {streamDownload} from './download.js';
import {
  DEFAULT_COLD_START,
  DEFAULT_OPTIONS,
  endRun,
  recordState,
  readLoad,
  type UpstreamState,
  type UpstreamCounts,
  type UpstreamLoad,
  type UpstreamOptions,
  type ActiveRequest,
} from './upstream_state.js';
import {createWarmUp} from './warm_up.js';

export type {UpstreamOptions} from './upstream_state.js';

/** Stand-in for an upstream. */
export interface Upstream {
  readonly id: string;
  readonly ledger: Ledger;
  readonly counts: Readonly<UpstreamCounts>;
  load(): UpstreamLoad;
  /** Sheds new requests while running ones complete. */
  drain(draining?: boolean): void;
  /** While stalled, accepts requests but sends no responses. */
  stall(stalled?: boolean): void;
  /** Resets the upstream to its cold state. */
  makeCold(): void;
  /** Overrides the status of `/health`; undefined removes the override. */
  setHealth(status: string | undefined): void;
  crash(): Promise<void>;
  restart(): Promise<void>;
  isUp(): boolean;
  listen(port?: number): Promise<string>;
  url(): string;
  close(): Promise<void>;
}

/** Creates an upstream with limited slots, a cold start and a run ledger. */
export function createUpstream(options: UpstreamOptions): Upstream {
  const state = createState(options);
  return {
    id: options.id,
    ledger: state.ledger,
    counts: state.counts,
    load: () => readLoad(state),
    drain: (draining = true) => {
      state.draining = draining;
      recordState(state);
    },
    stall: (stalled = true) => {
      state.stalled = stalled;
      if (!stalled) for (const release of state.unanswered.splice(0)) release();
    },
    makeCold: () => {
      state.warmUp.reset();
      recordState(state);
    },
    setHealth: status => {
      state.fixedHealth = status;
    },
    crash: () => crash(state),
    restart: () => restart(state),
    isUp: () => state.up,
    listen: port => listen(state, port),
    url: state.server.url,
    close: () => close(state),
  };
}

function createState(given: UpstreamOptions): UpstreamState {
  const options = {...DEFAULT_OPTIONS, ...given};
  const {slots} = options;
  const state: UpstreamState = {
    options,
    ledger: given.ledger ?? createLedger(),
    warmUp: createWarmUp(slots, {
      ...DEFAULT_COLD_START,
      fallOverAt: slots,
      ...given.cold,
    }),
    server: createHttpServer(
      (req, res) => handle(state, req, res),
      (socket, open) => acceptSocket(state, socket, open),
    ),
    counts: {
      requests: 0,
      shed: 0,
      crashes: 0,
      fallOvers: 0,
      refusedConnections: 0,
      peakRunning: 0,
    },
    active: new Set(),
    unanswered: [],
    loadHistory: createDelayedValue<UpstreamLoad>({
      slots,
      running: 0,
      connections: 0,
      cold: true,
    }),
    healthHistory: createDelayedValue('down'),
    acceptedAt: new WeakMap(),
    nextAcceptAt: 0,
    up: false,
    draining: false,
    stalled: false,
  };
  return state;
}

function acceptSocket(
  state: UpstreamState,
  socket: Socket,
  open: number,
): void {
  const {connections, connectionCostMs} = state.options;
  if (open > connections) {
    state.counts.refusedConnections++;
    socket.destroy();
    return;
  }
  // Connections are set up one at a time, as in an accept loop.
  const now = performance.now();
  state.nextAcceptAt = Math.max(now, state.nextAcceptAt) + connectionCostMs;
  state.acceptedAt.set(socket, state.nextAcceptAt);
}

function handle(
  state: UpstreamState,
  req: IncomingMessage,
  res: ServerResponse,
): void {
  const url = parseUrl(req);
  const {lagMs} = state.options;
  if (url.pathname === '/health') {
    const status = state.fixedHealth ?? state.healthHistory.read(lagMs);
    sendJson(res, status === 'ok' ? 200 : 503, {status});
    return;
  }
  if (url.pathname === '/load') {
    sendJson(res, 200, state.loadHistory.read(lagMs));
    return;
  }
  const readyAt = state.acceptedAt.get(req.socket) ?? 0;
  const waitMs = readyAt - performance.now();
  if (waitMs > 0) setTimeout(() => admit(state, req, res, url), waitMs);
  else admit(state, req, res, url);
}

function admit(
  state: UpstreamState,
  req: IncomingMessage,
  res: ServerResponse,
  url: URL,
): void {
  if (res.destroyed) return;
  const {counts, warmUp, active, ledger} = state;
  counts.requests++;
  if (req.headers['x-crash'] === '1') {
    ledger.start(describeRun(state, req, url)).outcome = 'crashed';
    void crash(state);
    return;
  }
  if (warmUp.recordAttempt(active.size, performance.now())) {
    counts.fallOvers++;
    void crash(state);
    return;
  }
  const deadlineMs = readDeadlineMs(req);
  if (state.draining || active.size >= warmUp.slots() || deadlineMs <= 0) {
    counts.shed++;
    const error = state.draining ? 'draining' : 'full';
    sendJson(res, 503, {error}, {[HEADERS.shed]: 'not-run'});
    return;
  }
  startRequest(state, req, res, url, deadlineMs);
}

function describeRun(
  {options}: UpstreamState,
  req: IncomingMessage,
  url: URL,
): Omit<Run, 'seq' | 'outcome'> {
  return {
    upstream: options.id,
    id: String(req.headers[HEADERS.id] ?? ''),
    key: String(req.headers[HEADERS.key] ?? ''),
    operation: url.searchParams.get('op') ?? '',
    method: req.method ?? '',
    path: url.pathname,
    startedAtMs: performance.now(),
  };
}

function startRequest(
  state: UpstreamState,
  req: IncomingMessage,
  res: ServerResponse,
  url: URL,
  deadlineMs: number,
): void {
  const {active, counts, warmUp, options} = state;
  const run = state.ledger.start(describeRun(state, req, url));
  const request: ActiveRequest = {run, res, ended: new AbortController()};
  if (Number.isFinite(deadlineMs)) {
    request.deadline = setTimeout(() => expire(state, request), deadlineMs);
  }
  active.add(request);
  counts.peakRunning = Math.max(counts.peakRunning, active.size);
  recordState(state);
  res.on('close', () => endRun(state, request, 'cancelled'));
  const ms = readNumber(url, 'serviceMs', options.serviceMs);
  setTimeout(() => answer(state, request, url), ms * warmUp.slowdown());
  req.resume();
}

function expire(state: UpstreamState, request: ActiveRequest): void {
  if (!endRun(state, request, 'deadline')) return;
  if (request.res.headersSent) request.res.destroy();
  else sendJson(request.res, 504, {error: 'deadline'});
}

function answer(state: UpstreamState, request: ActiveRequest, url: URL): void {
  const {run, res, ended} = request;
  if (ended.signal.aborted) return;
  if (state.stalled) {
    state.unanswered.push(() => answer(state, request, url));
    return;
  }
  const bytes = readNumber(url, 'bytes', 0);
  if (bytes > 0) {
    const chunkMs = readNumber(url, 'chunkMs', 10);
    streamDownload(res, bytes, chunkMs, ended.signal, () =>
      endRun(state, request, 'done'),
    );
    return;
  }
  endRun(state, request, 'done');
  const {upstream, seq, operation, path} = run;
  sendJson(res, 200, {upstream, run: seq, operation, path});
}

async function crash(state: UpstreamState): Promise<void> {
  if (!state.up) return;
  state.up = false;
  state.counts.crashes++;
  const closed = state.server.close();
  for (const request of [...state.active]) endRun(state, request, 'crashed');
  recordState(state);
  const {restartMs} = state.options;
  if (restartMs > 0) {
    state.restartTimer = setTimeout(() => void restart(state), restartMs);
  }
  await closed;
}

async function restart(state: UpstreamState): Promise<void> {
  if (state.up) return;
  clearTimeout(state.restartTimer);
  state.warmUp.reset();
  await listen(state);
}

async function listen(state: UpstreamState, port?: number): Promise<string> {
  const url = await state.server.listen(port);
  state.up = true;
  recordState(state);
  return url;
}

async function close(state: UpstreamState): Promise<void> {
  state.up = false;
  clearTimeout(state.restartTimer);
  await state.server.close();
}

function readDeadlineMs(req: IncomingMessage): number {
  const text = req.headers[HEADERS.deadlineMs];
  const value = typeof text === 'string' && text ? Number(text) : Infinity;
  return Number.isNaN(value) ? Infinity : value;
}
