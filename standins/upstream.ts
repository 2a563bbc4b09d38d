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
import {createWarmth, type ColdStart} from './warmth.js';

/** Options of an upstream stand-in; the defaults are those of deployment 1. */
export interface UpstreamOptions {
  id: string;
  slots?: number;
  connections?: number;
  /** Work that a new connection costs, one connection at a time, ms. */
  connectionCostMs?: number;
  serviceMs?: number;
  cold?: Partial<ColdStart>;
  /** Delay of the health and load endpoints, ms. */
  lagMs?: number;
  /** Time until a crashed upstream listens again, ms; 0 for on command only. */
  restartMs?: number;
  ledger?: Ledger;
}

/** Figures of an upstream; `/load` answers them late. */
export interface UpstreamLoad {
  slots: number;
  running: number;
  connections: number;
  cold: boolean;
}

/** Counters of an upstream since it was created. */
export interface UpstreamCounts {
  requests: number;
  shed: number;
  crashes: number;
  /** Crashes of a cold upstream under too much load. */
  fallOvers: number;
  refusedConnections: number;
  /** Most requests running at once. */
  peakRunning: number;
}

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

interface Work {
  readonly run: Run;
  readonly res: ServerResponse;
  /** Ends the work early or on completion; frees the slot. */
  finish(outcome: Run['outcome']): boolean;
}

/** Creates an upstream with slots, cold start, shedding and a ledger. */
export function createUpstream(options: UpstreamOptions): Upstream {
  const {
    id,
    slots = 12,
    connections = 110,
    connectionCostMs = 1,
    serviceMs = 20,
    lagMs = 500,
    restartMs = 0,
    ledger = createLedger(),
  } = options;
  const warmth = createWarmth(slots, {
    slots: 2,
    slowdown: 4,
    warmAfterRuns: 40,
    fallOverAt: slots,
    ...options.cold,
  });
  const counts: UpstreamCounts = {
    requests: 0,
    shed: 0,
    crashes: 0,
    fallOvers: 0,
    refusedConnections: 0,
    peakRunning: 0,
  };
  const working = new Set<Work>();
  const stalled: Array<() => void> = [];
  const acceptedAt = new WeakMap<Socket, number>();
  let nextAcceptAt = 0;
  let up = false;
  let draining = false;
  let stalling = false;
  let fixedHealth: string | undefined;
  let restartTimer: NodeJS.Timeout | undefined;

  const server = createHttpServer(handle, (socket, open) => {
    if (open > connections) {
      counts.refusedConnections++;
      socket.destroy();
      return;
    }
    // New connections are set up one after another, as in an accept loop.
    const now = performance.now();
    nextAcceptAt = Math.max(now, nextAcceptAt) + connectionCostMs;
    acceptedAt.set(socket, nextAcceptAt);
  });
  const loadHistory = createLagging<UpstreamLoad>(load());
  const healthHistory = createLagging('down');

  function load(): UpstreamLoad {
    return {
      slots: warmth.slots(),
      running: working.size,
      connections: server.sockets.size,
      cold: warmth.isCold(),
    };
  }

  function noteState(): void {
    loadHistory.set(load());
    healthHistory.set(up ? (draining ? 'draining' : 'ok') : 'down');
  }

  function handle(req: IncomingMessage, res: ServerResponse): void {
    const url = parseUrl(req);
    if (url.pathname === '/health') {
      const status = fixedHealth ?? healthHistory.read(lagMs);
      sendJson(res, status === 'ok' ? 200 : 503, {status});
      return;
    }
    if (url.pathname === '/load') {
      sendJson(res, 200, loadHistory.read(lagMs));
      return;
    }
    const waitMs = (acceptedAt.get(req.socket) ?? 0) - performance.now();
    if (waitMs > 0) setTimeout(() => admit(req, res, url), waitMs);
    else admit(req, res, url);
  }

  function admit(req: IncomingMessage, res: ServerResponse, url: URL): void {
    if (res.destroyed) return;
    counts.requests++;
    if (req.headers['x-crash'] === '1') {
      ledger.start(describeRun(req, url)).outcome = 'crashed';
      void crash();
      return;
    }
    if (warmth.noteAttempt(working.size, performance.now())) {
      counts.fallOvers++;
      void crash();
      return;
    }
    const deadlineMs = readDeadline(req);
    if (draining || working.size >= warmth.slots() || deadlineMs <= 0) {
      counts.shed++;
      const headers = {[HEADERS.shed]: 'not-run'};
      sendJson(res, 503, {error: draining ? 'draining' : 'full'}, headers);
      return;
    }
    startWork(req, res, url, deadlineMs);
  }

  function describeRun(
    req: IncomingMessage,
    url: URL,
  ): Omit<Run, 'seq' | 'outcome'> {
    return {
      upstream: id,
      id: String(req.headers[HEADERS.id] ?? ''),
      key: String(req.headers[HEADERS.key] ?? ''),
      operation: url.searchParams.get('op') ?? '',
      method: req.method ?? '',
      path: url.pathname,
      startedAtMs: performance.now(),
    };
  }

  function startWork(
    req: IncomingMessage,
    res: ServerResponse,
    url: URL,
    deadlineMs: number,
  ): void {
    const run = ledger.start(describeRun(req, url));
    const abort = new AbortController();
    const work: Work = {
      run,
      res,
      finish: outcome => {
        if (!working.delete(work)) return false;
        run.outcome = outcome;
        clearTimeout(timer);
        abort.abort();
        if (outcome === 'done') warmth.noteRun();
        noteState();
        return true;
      },
    };
    const timer = Number.isFinite(deadlineMs)
      ? setTimeout(() => {
          if (!work.finish('deadline')) return;
          if (res.headersSent) res.destroy();
          else sendJson(res, 504, {error: 'deadline'});
        }, deadlineMs)
      : undefined;
    working.add(work);
    counts.peakRunning = Math.max(counts.peakRunning, working.size);
    noteState();
    res.on('close', () => work.finish('cancelled'));
    const ms = readNumber(url, 'serviceMs', serviceMs) * warmth.slowdown();
    setTimeout(() => answer(work, url, abort.signal), ms);
    req.resume();
  }

  function answer(work: Work, url: URL, signal: AbortSignal): void {
    if (signal.aborted) return;
    if (stalling) {
      stalled.push(() => answer(work, url, signal));
      return;
    }
    const bytes = readNumber(url, 'bytes', 0);
    if (bytes > 0) {
      const chunkMs = readNumber(url, 'chunkMs', 10);
      startTransfer(work.res, bytes, chunkMs, signal, () =>
        work.finish('done'),
      );
      return;
    }
    const {run, res} = work;
    work.finish('done');
    sendJson(res, 200, {
      upstream: id,
      run: run.seq,
      operation: run.operation,
      path: run.path,
    });
  }

  async function crash(): Promise<void> {
    if (!up) return;
    up = false;
    counts.crashes++;
    const closed = server.close();
    for (const work of [...working]) work.finish('crashed');
    noteState();
    if (restartMs > 0) {
      restartTimer = setTimeout(() => void restart(), restartMs);
    }
    await closed;
  }

  async function restart(): Promise<void> {
    if (up) return;
    clearTimeout(restartTimer);
    warmth.chill();
    await listen();
  }

  async function listen(port?: number): Promise<string> {
    const url = await server.listen(port);
    up = true;
    noteState();
    return url;
  }

  async function close(): Promise<void> {
    up = false;
    clearTimeout(restartTimer);
    await server.close();
  }

  return {
    id,
    ledger,
    counts,
    load,
    drain: (next = true) => {
      draining = next;
      noteState();
    },
    stall: (next = true) => {
      stalling = next;
      if (!next) for (const release of stalled.splice(0)) release();
    },
    chill: () => {
      warmth.chill();
      noteState();
    },
    setHealth: status => {
      fixedHealth = status;
    },
    crash,
    restart,
    isUp: () => up,
    listen,
    url: server.url,
    close,
  };
}

function readDeadline(req: IncomingMessage): number {
  const text = req.headers[HEADERS.deadlineMs];
  const value = typeof text === 'string' && text ? Number(text) : Infinity;
  return Number.isNaN(value) ? Infinity : value;
}
