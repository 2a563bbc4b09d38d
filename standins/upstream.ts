import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {HEADERS} from '../src/internal.js';
import {
  createHttpServer,
  parseUrl,
  readNumber,
  sendJson,
} from './http_server.js';
import {createLagging} from './lagging.js';
import {createLedger, type Ledger, type Run} from './ledger.js';
import {startTransfer} from './transfer.js';
import {
  COLD_DEFAULTS,
  DEFAULTS,
  finish,
  noteState,
  readLoad,
  type State,
  type UpstreamCounts,
  type UpstreamLoad,
  type UpstreamOptions,
  type Work,
} from './upstream_state.js';
import {createWarmth} from './warmth.js';

export type {UpstreamOptions} from './upstream_state.js';

/** Handle of an upstream stand-in. */
export interface Upstream {
  readonly id: string;
  readonly ledger: Ledger;
  readonly counts: Readonly<UpstreamCounts>;
  load(): UpstreamLoad;
  /** Sheds new requests; running ones finish. */
  drain(draining?: boolean): void;
  /** Accepts requests and answers none until released. */
  stall(stalled?: boolean): void;
  /** Makes the upstream cold again. */
  chill(): void;
  /** Fixes the answer of `/health`, whatever the truth is. */
  setHealth(status: string | undefined): void;
  crash(): Promise<void>;
  restart(): Promise<void>;
  isUp(): boolean;
  listen(port?: number): Promise<string>;
  url(): string;
  close(): Promise<void>;
}

/** Creates an upstream with slots, cold start, shedding and a ledger. */
export function createUpstream(options: UpstreamOptions): Upstream {
  const state = createState(options);
  return {
    id: options.id,
    ledger: state.ledger,
    counts: state.counts,
    load: () => readLoad(state),
    drain: (draining = true) => {
      state.draining = draining;
      noteState(state);
    },
    stall: (stalled = true) => {
      state.stalling = stalled;
      if (!stalled) for (const release of state.held.splice(0)) release();
    },
    chill: () => {
      state.warmth.chill();
      noteState(state);
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

function createState(given: UpstreamOptions): State {
  const options = {...DEFAULTS, ...given};
  const {slots} = options;
  const state: State = {
    options,
    ledger: given.ledger ?? createLedger(),
    warmth: createWarmth(slots, {
      ...COLD_DEFAULTS,
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
    working: new Set(),
    held: [],
    loadHistory: createLagging<UpstreamLoad>({
      slots,
      running: 0,
      connections: 0,
      cold: true,
    }),
    healthHistory: createLagging('down'),
    acceptedAt: new WeakMap(),
    nextAcceptAt: 0,
    up: false,
    draining: false,
    stalling: false,
  };
  return state;
}

function acceptSocket(state: State, socket: Socket, open: number): void {
  const {connections, connectionCostMs} = state.options;
  if (open > connections) {
    state.counts.refusedConnections++;
    socket.destroy();
    return;
  }
  // New connections are set up one after another, as in an accept loop.
  const now = performance.now();
  state.nextAcceptAt = Math.max(now, state.nextAcceptAt) + connectionCostMs;
  state.acceptedAt.set(socket, state.nextAcceptAt);
}

function handle(state: State, req: IncomingMessage, res: ServerResponse): void {
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
  state: State,
  req: IncomingMessage,
  res: ServerResponse,
  url: URL,
): void {
  if (res.destroyed) return;
  const {counts, warmth, working, ledger} = state;
  counts.requests++;
  if (req.headers['x-crash'] === '1') {
    ledger.start(describeRun(state, req, url)).outcome = 'crashed';
    void crash(state);
    return;
  }
  if (warmth.noteAttempt(working.size, performance.now())) {
    counts.fallOvers++;
    void crash(state);
    return;
  }
  const deadlineMs = readDeadline(req);
  if (state.draining || working.size >= warmth.slots() || deadlineMs <= 0) {
    counts.shed++;
    const error = state.draining ? 'draining' : 'full';
    sendJson(res, 503, {error}, {[HEADERS.shed]: 'not-run'});
    return;
  }
  startWork(state, req, res, url, deadlineMs);
}

function describeRun(
  {options}: State,
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

function startWork(
  state: State,
  req: IncomingMessage,
  res: ServerResponse,
  url: URL,
  deadlineMs: number,
): void {
  const {working, counts, warmth, options} = state;
  const run = state.ledger.start(describeRun(state, req, url));
  const work: Work = {run, res, ended: new AbortController()};
  if (Number.isFinite(deadlineMs)) {
    work.deadline = setTimeout(() => expire(state, work), deadlineMs);
  }
  working.add(work);
  counts.peakRunning = Math.max(counts.peakRunning, working.size);
  noteState(state);
  res.on('close', () => finish(state, work, 'cancelled'));
  const ms = readNumber(url, 'serviceMs', options.serviceMs);
  setTimeout(() => answer(state, work, url), ms * warmth.slowdown());
  req.resume();
}

function expire(state: State, work: Work): void {
  if (!finish(state, work, 'deadline')) return;
  if (work.res.headersSent) work.res.destroy();
  else sendJson(work.res, 504, {error: 'deadline'});
}

function answer(state: State, work: Work, url: URL): void {
  const {run, res, ended} = work;
  if (ended.signal.aborted) return;
  if (state.stalling) {
    state.held.push(() => answer(state, work, url));
    return;
  }
  const bytes = readNumber(url, 'bytes', 0);
  if (bytes > 0) {
    const chunkMs = readNumber(url, 'chunkMs', 10);
    startTransfer(res, bytes, chunkMs, ended.signal, () =>
      finish(state, work, 'done'),
    );
    return;
  }
  finish(state, work, 'done');
  const {upstream, seq, operation, path} = run;
  sendJson(res, 200, {upstream, run: seq, operation, path});
}

async function crash(state: State): Promise<void> {
  if (!state.up) return;
  state.up = false;
  state.counts.crashes++;
  const closed = state.server.close();
  for (const work of [...state.working]) finish(state, work, 'crashed');
  noteState(state);
  const {restartMs} = state.options;
  if (restartMs > 0) {
    state.restartTimer = setTimeout(() => void restart(state), restartMs);
  }
  await closed;
}

async function restart(state: State): Promise<void> {
  if (state.up) return;
  clearTimeout(state.restartTimer);
  state.warmth.chill();
  await listen(state);
}

async function listen(state: State, port?: number): Promise<string> {
  const url = await state.server.listen(port);
  state.up = true;
  noteState(state);
  return url;
}

async function close(state: State): Promise<void> {
  state.up = false;
  clearTimeout(state.restartTimer);
  await state.server.close();
}

function readDeadline(req: IncomingMessage): number {
  const text = req.headers[HEADERS.deadlineMs];
  const value = typeof text === 'string' && text ? Number(text) : Infinity;
  return Number.isNaN(value) ? Infinity : value;
}
