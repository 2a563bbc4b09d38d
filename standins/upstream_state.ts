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
  /** Work that a new connection costs, one connection at a time, ms. */
  connectionCostMs?: number;
  serviceMs?: number;
  cold?: Partial<ColdStartOptions>;
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

/** Options of an upstream of deployment 1. */
export const DEFAULT_OPTIONS = {
  slots: 12,
  connections: 110,
  connectionCostMs: 1,
  serviceMs: 20,
  lagMs: 500,
  restartMs: 0,
};

/** Cold start when the options do not set it. */
export const DEFAULT_COLD_START = {slots: 2, slowdown: 4, warmAfterRuns: 40};

/** A run with its request. */
export interface ActiveRequest {
  readonly run: Run;
  readonly res: ServerResponse;
  /** Aborted when the run has ended, for whatever reason. */
  readonly ended: AbortController;
  deadline?: NodeJS.Timeout;
}

/** State of an upstream. */
export interface UpstreamState {
  readonly options: UpstreamOptions & typeof DEFAULT_OPTIONS;
  readonly ledger: Ledger;
  readonly warmUp: WarmUp;
  readonly server: HttpServer;
  readonly counts: UpstreamCounts;
  readonly active: Set<ActiveRequest>;
  /** Answers held back while stalled. */
  readonly unanswered: Array<() => void>;
  readonly loadHistory: DelayedValue<UpstreamLoad>;
  readonly healthHistory: DelayedValue<string>;
  /** Time at which a connection is set up. */
  readonly acceptedAt: WeakMap<Socket, number>;
  nextAcceptAt: number;
  up: boolean;
  draining: boolean;
  stalled: boolean;
  fixedHealth?: string;
  restartTimer?: NodeJS.Timeout;
}

/** Reads the figures of this moment. */
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

/** Adds the figures of this moment to what the endpoints show later. */
export function recordState(state: UpstreamState): void {
  const {up, draining} = state;
  state.loadHistory.set(readLoad(state));
  state.healthHistory.set(up ? (draining ? 'draining' : 'ok') : 'down');
}

/** Ends a run and frees its slot; false when it had ended before. */
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
