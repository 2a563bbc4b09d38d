import {
  createCallFailures,
  createLimiter,
  createLoopLag,
  createMirror,
  createOrganisationCounts,
  createPollTurnaround,
  createLinkPacer,
  createResendBudget,
  createSuspects,
  createTokenBucket,
  createUpstreamList,
  classifyCopy,
  count,
  isCopyOverdue,
  type BalanceState,
  type CallFailures,
  type ConcurrencyLimiter,
  type CopyState,
  type CopyStatus,
  type HeaderNames,
  type IsUnchanged,
  type LinkPacer,
  type ListedUpstream,
  type LoopLag,
  type OrganisationCounts,
  type PeerContacts,
  type PollTurnaround,
  type QuotaDaemon,
  type Random,
  type ResendBudget,
  type RouteTable,
  type SidecarSettings,
  type SplitState,
  type StoreMirror,
  type Suspects,
  type TokenBucket,
  type UpstreamList,
  PROBES_PER_S,
  PROBE_BURST,
  findByAddress,
} from '../internal.js';
import type {StatedLimit} from './announcements.js';
import {
  type AnswerBudget,
  type AnswerEvents,
  createAnswerBudget,
} from './answer_budget.js';
import {type BodyBudget, createBodyBudget} from './body_budget.js';
import {type CrashRecords, createCrashRecords} from './crash_records.js';
import type {DecisionLog} from './decision_log.js';
import {type Placement, createPlacement} from './placement.js';
import type {HeadBudget} from '../daemon/customer_server.js';
import {createMetrics, type Metrics} from '../daemon/metrics.js';
import {getHeapStatistics} from 'node:v8';

/** Share of the process memory that answers may use. */
const ANSWER_MEMORY_SHARE = 0.35;

/** Share of the process memory that request bodies may use. */
const BODY_MEMORY_SHARE = 0.15;

/** Share that heads of requests may use, of the memory of the process or of its
 * heap, whichever is smaller. */
const HEAD_MEMORY_SHARE = 0.35;

/** A long poll of a peer that waits for a change. */
export interface PendingPoll {
  /** Monotonic time at which the copy had last matched the store when the poll
   * arrived, ms. */
  readonly matchedAt: number;
  /** Answers the poll. */
  finish(): void;
}

/** State of one sidecar, shared by its parts. */
export interface SidecarBoard {
  settings: SidecarSettings;
  /** Called before a request gets the name of the service; may change the
   * settings. Never throws. */
  refreshSettings: () => void;
  readonly names: HeaderNames;
  /** Configuration in force; undefined before the first one. */
  table?: RouteTable;
  /** Era of the store in which the configuration was last read as it is. */
  tableEra: number;
  readonly list: UpstreamList;
  /** Copy of the store's keys with the prefix. */
  readonly mirror: StoreMirror;
  /** Time since the copy was last known to match the store, ms. */
  readMirrorAge: () => number;
  /** True when this daemon's own reads of the store fail. */
  isStoreLost: () => boolean;
  /** Monotonic time at which another daemon last said that its reads of the store
   * fail, ms. */
  outageToldAt: number;
  /** Packed states of one position, by the revision that peers have. */
  readonly packedStates: {
    era: number;
    revision: number;
    byAfter: Map<number, Buffer>;
  };
  readonly pollTurnaround: PollTurnaround;
  /** Long polls of peers that wait for a change. */
  readonly pendingPolls: Set<PendingPoll>;
  readonly balance: BalanceState;
  readonly placement: Placement;
  readonly contacts: PeerContacts;
  /** Limits the rate of liveness probes. */
  readonly probeTokens: TokenBucket;
  /** Monotonic time of the latest message of another daemon, ms. */
  peerHeardAt: number;
  /** Mean size of request plus answer by route name, bytes. */
  readonly routeBytes: Map<string, number>;
  /** Routes with counters of their own, by name. */
  readonly countedRoutes: Set<string>;
  /** Quotas of organisations; set at the start of the sidecar. */
  quotas?: QuotaDaemon;
  /** Ended requests by organisation. */
  readonly organisations: OrganisationCounts;
  readonly resends: ResendBudget;
  readonly splits: SplitState;
  readonly suspects: Suspects;
  readonly crashRecords: CrashRecords;
  readonly limiter: ConcurrencyLimiter;
  /** Refused calls of the local upstream and the runs that failed by them; undefined
   * without placement by work. */
  readonly callFailures?: CallFailures;
  readonly pacer: LinkPacer;
  /** Memory for answers of the local upstream and of other daemons, until they
   * have gone out. */
  readonly answers: AnswerBudget;
  /** Memory for the request bodies of customers and of other daemons. */
  readonly bodies: BodyBudget;
  /** Memory for the heads of customers' requests that have no whole answer. */
  readonly heads: HeadBudget;
  /** Start times of the upstreams that have said that they are about to stop, by
   * id. */
  readonly announcedLeaving: Map<string, number>;
  /** Limits in the latest answers that this entry got from upstreams, by id. */
  readonly statedLimits: Map<string, StatedLimit>;
  /** State of the copy in the last log line about it. */
  loggedCopyState: CopyState;
  /** True once the process has been asked to stop. */
  stopping: boolean;
  /** True once a stopping process refuses new requests. */
  closed: boolean;
  /** Monotonic time by which requests of a stopping process must have ended, ms. */
  exitAt: number;
  readonly lag: LoopLag;
  readonly log: DecisionLog;
  readonly counters: Map<string, number>;
  readonly metrics: Metrics;
  readonly random: Random;
  /** Monotonic clock, ms. */
  readonly now: () => number;
}

/** Dependencies of a board. */
export interface BoardDeps {
  readonly settings: SidecarSettings;
  readonly names: HeaderNames;
  /** Prefix of the store's keys that the daemon follows. */
  readonly prefix: string;
  readonly isUnchanged: IsUnchanged;
  readonly log: DecisionLog;
  readonly random: Random;
  readonly now: () => number;
}

/** Creates the state of a sidecar before its first store update. */
export function createSidecarBoard(deps: BoardDeps): SidecarBoard {
  const counters = new Map<string, number>();
  return {
    ...deps,
    refreshSettings: () => {},
    tableEra: 0,
    list: createUpstreamList(),
    mirror: createMirror(deps.prefix, deps.isUnchanged),
    readMirrorAge: () => Infinity,
    isStoreLost: () => false,
    outageToldAt: -Infinity,
    packedStates: {era: 0, revision: -1, byAfter: new Map()},
    pollTurnaround: createPollTurnaround(),
    pendingPolls: new Set(),
    balance: new Map(),
    placement: createPlacement(),
    contacts: new Map(),
    probeTokens: createTokenBucket(PROBES_PER_S, PROBE_BURST, deps.now()),
    peerHeardAt: -Infinity,
    routeBytes: new Map(),
    countedRoutes: new Set(),
    organisations: createOrganisationCounts(),
    resends: createResendBudget(deps.settings.resends),
    splits: new Map(),
    suspects: createSuspects(),
    crashRecords: createCrashRecords(),
    limiter: createOwnLimiter(deps),
    callFailures:
      deps.settings.placement === 'work' ? createCallFailures() : undefined,
    answers: createAnswerBudget(
      Math.floor(deps.settings.memoryMb * 1_048_576 * ANSWER_MEMORY_SHARE),
      deps.now,
      createAnswerEvents(deps, counters),
    ),
    bodies: createBodyBudget(
      Math.floor(deps.settings.memoryMb * 1_048_576 * BODY_MEMORY_SHARE),
    ),
    heads: createHeadBudget(deps.settings.memoryMb * 1_048_576),
    pacer: createLinkPacer(deps.settings.linkBytesPerS, deps.now()),
    announcedLeaving: new Map(),
    statedLimits: new Map(),
    loggedCopyState: 'current',
    stopping: false,
    closed: false,
    exitAt: Infinity,
    lag: createLoopLag(),
    counters,
    metrics: createMetrics(),
  };
}

function createOwnLimiter({settings, now}: BoardDeps): ConcurrencyLimiter {
  const {placement, coldBound} = settings;
  const isByWork = placement === 'work';
  return createLimiter(now(), placement, isByWork ? coldBound : undefined);
}

function createHeadBudget(memoryBytes: number): HeadBudget {
  const {heap_size_limit: heapBytes} = getHeapStatistics();
  const bytes = Math.min(memoryBytes, heapBytes) * HEAD_MEMORY_SHARE;
  return {limitBytes: Math.floor(bytes), usedBytes: 0};
}

/** Counts and logs what is done when the memory for answers runs short. */
function createAnswerEvents(
  {log}: BoardDeps,
  counters: Map<string, number>,
): AnswerEvents {
  return {
    onDrop(cause, bytes) {
      count({counters}, `answers_dropped_${cause}`);
      log.write('notable', 'answerDropped', {cause, bytes});
    },
    onShortage({isShort, usedBytes, waitingBytes, expectedBytes, limitBytes}) {
      const fields = {usedBytes, waitingBytes, expectedBytes, limitBytes};
      log.write('notable', isShort ? 'answersShort' : 'answersAmple', fields);
    },
  };
}

/** True when the daemon can serve requests. */
export function isSidecarReady(board: SidecarBoard): boolean {
  const {stopping, table, list} = board;
  const informed = table !== undefined && list.complete && !isOverdue(board);
  const hasRecords = board.crashRecords.starting === undefined;
  return informed && hasRecords && !stopping;
}

/** Reads what the daemon knows of the age of its copy of the store. */
export function readCopyStatus(board: SidecarBoard): CopyStatus {
  return {
    ageMs: board.readMirrorAge(),
    outageToldAgoMs: board.now() - board.outageToldAt,
    heardAgoMs: board.now() - board.peerHeardAt,
    lagMs: board.lag.read(),
  };
}

/** True when the daemon may miss updates that others have. */
export function isOverdue(board: SidecarBoard): boolean {
  return isCopyOverdue(readCopyStatus(board));
}

/** Log line of each state of the copy. */
const COPY_DECISIONS: Record<CopyState, string> = {
  current: 'copyCurrent',
  old: 'copyOld',
  overdue: 'copyOverdue',
};

/** Largest time in a log line, ms; one that has never begun is written so. */
export const MAX_LOGGED_MS = 1_000_000;

/** Logs when the copy becomes too old, or current again, and whether requests
 * are refused meanwhile. */
export function logCopyChange(board: SidecarBoard): void {
  const status = readCopyStatus(board);
  const state = classifyCopy(status);
  if (state === board.loggedCopyState) return;
  board.loggedCopyState = state;
  const {ageMs, outageToldAgoMs, heardAgoMs, lagMs} = status;
  board.log.write('always', COPY_DECISIONS[state], {
    ageMs: Math.round(ageMs),
    outageToldAgoMs: Math.round(Math.min(outageToldAgoMs, MAX_LOGGED_MS)),
    heardAgoMs: Math.round(Math.min(heardAgoMs, MAX_LOGGED_MS)),
    lagMs: Math.round(lagMs),
    ...readPosition(board),
  });
}

/** Position of the copy of the store, for log lines; a store may state no era. */
export function readPosition({mirror: {era, revision}}: SidecarBoard): {
  readonly era: number | undefined;
  readonly revision: number | undefined;
} {
  return {era: era > 0 ? era : undefined, revision};
}

/** Finds the local upstream; undefined when it is not listed. */
export function findOwnUpstream(
  board: SidecarBoard,
): ListedUpstream | undefined {
  const {host, port} = board.settings.upstream;
  return findByAddress(board.list, host, port);
}
