import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {HttpServer} from './http_server.js';
import type {DelayedValue} from './delayed_value.js';
import type {Ledger, Run} from './ledger.js';
import type {ColdStartOptions, WarmUp} from './warm_up.js';

/** Options of an upstream stand-in; the defaults are those of deployment 1. */
export interface UpstreamOptions {
  id: string;
  slots?: number;
  connections?: number;
  /** Time to set up a connection, one connection at a time, ms. */
  connectionCostMs?: number;
  serviceMs?: number;
  cold?: Partial<ColdStartOptions>;
  /** Age of the values that `/health` and `/load` report, ms. */
  lagMs?: number;
  /** Restart delay after a crash, ms; 0 disables automatic restarts. */
  restartMs?: number;
  ledger?: Ledger;
}

/** Load of an upstream; `/load` reports it with a delay. */
export interface UpstreamLoad {
  slots: number;
  running: number;
  connections: number;
  cold: boolean;
}

/** Counters since the upstream was created. */
export interface UpstreamCounts {
  requests: number;
  shed: number;
  crashes: number;
  /** Crashes caused by overload while cold. */
  fallOvers: number;
  refusedConnections: number;
  /** Highest number of concurrent requests. */
  peakRunning: number;
}

/** Default options, those of deployment 1. */
export const DEFAULT_OPTIONS = {
  slots: 12,
  connections: 110,
  connectionCostMs: 1,
  serviceMs: 20,
  lagMs: 500,
  restartMs: 0,
};

/** Default cold start options, except `fallOverAt`. */
export const DEFAULT_COLD_START = {slots: 2, slowdown: 4, warmAfterRuns: 40};

/** Request that is being processed. */
export interface ActiveRequest {
  readonly run: Run;
  readonly res: ServerResponse;
  /** Aborted when the run ends, for any reason. */
  readonly ended: AbortController;
  deadline?: NodeJS.Timeout;
}

/** Internal state of an upstream. */
export interface UpstreamState {
  readonly options: UpstreamOptions & typeof DEFAULT_OPTIONS;
  readonly ledger: Ledger;
  readonly warmUp: WarmUp;
  readonly server: HttpServer;
  readonly counts: UpstreamCounts;
  readonly active: Set<ActiveRequest>;
  /** Deferred responses of a stalled upstream. */
  readonly unanswered: Array<() => void>;
  readonly loadHistory: DelayedValue<UpstreamLoad>;
  readonly healthHistory: DelayedValue<string>;
  /** Time at which a connection is ready, ms. */
  readonly acceptedAt: WeakMap<Socket, number>;
  nextAcceptAt: number;
  up: boolean;
  draining: boolean;
  stalled: boolean;
  fixedHealth?: string;
  restartTimer?: NodeJS.Timeout;
}

/** Returns the current load. */
export function readLoad({
  warmUp,
  active,
  server,
}: UpstreamState): UpstreamLoad {
  return {
    slots: warmUp.slots(),
    running: active.size,
    connections: server.sockets.size,
    cold: warmUp.isCold(),
  };
}

/** Records the current load and health for the delayed endpoints. */
export function recordState(state: UpstreamState): void {
  const {up, draining} = state;
  state.loadHistory.set(readLoad(state));
  state.healthHistory.set(up ? (draining ? 'draining' : 'ok') : 'down');
}

/** Ends a run and frees its slot; returns false if it had already ended. */
export function endRun(
  state: UpstreamState,
  request: ActiveRequest,
  outcome: Run['outcome'],
): boolean {
  if (!state.active.delete(request)) return false;
  request.run.outcome = outcome;
  clearTimeout(request.deadline);
  request.ended.abort();
  if (outcome === 'done') state.warmUp.recordRun();
  recordState(state);
  return true;
}
