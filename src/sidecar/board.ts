import {
  createLimiter,
  createLoopLag,
  createMirror,
  createResendBudget,
  createSuspects,
  createUpstreamList,
  type BalanceState,
  type ConcurrencyLimiter,
  type HeaderNames,
  type ListedUpstream,
  type LoopLag,
  type PeerContacts,
  type Random,
  type ResendBudget,
  type RouteTable,
  type SidecarSettings,
  type SplitState,
  type StoreMirror,
  type Suspects,
  type UpstreamList,
  findByAddress,
} from '../internal.js';
import type {DecisionLog} from './decision_log.js';
import {createMetrics, type Metrics} from '../daemon/metrics.js';

/** All state of one sidecar; its parts read and write it. */
export interface SidecarBoard {
  settings: SidecarSettings;
  readonly names: HeaderNames;
  /** Configuration in force; undefined until one is known. */
  table?: RouteTable;
  readonly list: UpstreamList;
  /** Copy of the store's keys. */
  readonly mirror: StoreMirror;
  /** Time since the copy was known to be current, ms. */
  readMirrorAge: () => number;
  /** Newest packed answer, for peers that know the revision `after`. */
  packedState?: {after: number; revision: number; body: Buffer};
  /** Answers of this daemon's peers that wait for changes of the copy. */
  readonly pendingPolls: Set<() => void>;
  readonly balance: BalanceState;
  readonly contacts: PeerContacts;
  /** Mean bytes of request and answer by route name. */
  readonly routeBytes: Map<string, number>;
  readonly resends: ResendBudget;
  readonly splits: SplitState;
  readonly suspects: Suspects;
  readonly limiter: ConcurrencyLimiter;
  /** True once the process has been asked to stop. */
  stopping: boolean;
  /** True once a stopping process takes no new requests. */
  closed: boolean;
  readonly lag: LoopLag;
  readonly log: DecisionLog;
  readonly counters: Map<string, number>;
  readonly metrics: Metrics;
  readonly random: Random;
  /** Monotonic clock, ms. */
  readonly now: () => number;
}

/** What a board is made from. */
export interface BoardDeps {
  readonly settings: SidecarSettings;
  readonly names: HeaderNames;
  /** Prefix of the store's keys that the daemon follows. */
  readonly prefix: string;
  readonly log: DecisionLog;
  readonly random: Random;
  readonly now: () => number;
}

/** Creates the state of a sidecar that knows nothing yet. */
export function createSidecarBoard(deps: BoardDeps): SidecarBoard {
  return {
    ...deps,
    list: createUpstreamList(),
    mirror: createMirror(deps.prefix),
    readMirrorAge: () => Infinity,
    pendingPolls: new Set(),
    balance: new Map(),
    contacts: new Map(),
    routeBytes: new Map(),
    resends: createResendBudget(deps.settings.resends),
    splits: new Map(),
    suspects: createSuspects(),
    limiter: createLimiter(deps.now()),
    stopping: false,
    closed: false,
    lag: createLoopLag(),
    counters: new Map(),
    metrics: createMetrics(),
  };
}

/** True when the daemon can serve requests. */
export function isSidecarReady(board: SidecarBoard): boolean {
  return !board.stopping && board.table !== undefined && board.list.complete;
}

/** Entry of the upstream beside the daemon, as far as it is listed. */
export function findOwnUpstream(
  board: SidecarBoard,
): ListedUpstream | undefined {
  const {host, port} = board.settings.upstream;
  return findByAddress(board.list, host, port);
}
