import {
  entrySchema,
  type Entry,
  type Refusal,
  type Version,
} from '../types/document.js';
import {MESSAGES} from '../types/messages.js';
import {count, type Board} from './blackboard.js';
import {MAX_REASON, measureJson, type Checked} from './json.js';
import {recordEvent} from './timeline.js';
import {checkDocument, createVersion, checkEntry} from './versions.js';

/** Entries kept to serve peers that are behind. */
export const LOG_ENTRIES = 256;

/** Size of the entries kept to serve peers that are behind, bytes of JSON. */
export const LOG_BYTES = 262_144;

/** Refused entries kept for operators. */
export const REFUSALS_KEPT = 32;

/** Time after the start in which a daemon waits for reports of peers, ms. */
export const LEARN_WINDOW_MS = 3_000;

/** Time after the start until a daemon serves without any report, ms. */
export const LEARN_ALONE_MS = 5_000;

/**
 * Largest part of one gap between two calls that counts towards the wait for
 * reports, ms. Peers cannot have answered a process that was paused.
 */
const LEARN_STEP_MS = 1_500;

/** A position in the series: an index and the version accepted up to it. */
export interface Position {
  readonly index: number;
  /** 0 when no version is accepted yet. */
  readonly version: number;
  /** Empty when no version is accepted yet. */
  readonly digest: string;
}

/** What peers have reported to a daemon that has just started. */
export interface Learning {
  /** Time spent waiting for reports, without pauses, ms. */
  elapsedMs: number;
  /** Monotonic time of the last update, ms. */
  updatedAt?: number;
  /** Highest version that any peer has reported, 0 for none. */
  highestVersion: number;
  /** True when a confirmed peer of our data centre has reported. */
  sawOwn: boolean;
  /** True when a confirmed peer of another data centre has reported. */
  sawOther: boolean;
}

/** Configuration state of one daemon, computed by folding the entries. */
export interface ConfigState {
  /** Newest accepted version. */
  current?: Version;
  /** Version used to serve requests; never decreases. */
  inForce?: Version;
  /** Index of the newest entry folded. */
  index: number;
  /** Newest entries, oldest first. */
  log: Entry[];
  /** Position before each entry of the log, and the entry's bytes of JSON. */
  logPositions: (Position & {readonly bytes: number})[];
  refusals: Refusal[];
  /** False until a peer has confirmed the version in force. */
  confirmed: boolean;
  readonly learning: Learning;
}

/** Creates the state of a daemon without a configuration. */
export function createConfigState(): ConfigState {
  return {
    index: 0,
    log: [],
    logPositions: [],
    refusals: [],
    confirmed: false,
    learning: {
      elapsedMs: 0,
      highestVersion: 0,
      sawOwn: false,
      sawOther: false,
    },
  };
}

/** Position in the series that the state has reached. */
export function getPosition(state: ConfigState): Position {
  const {current, index} = state;
  return {
    index,
    version: current?.version ?? 0,
    digest: current?.digest ?? '',
  };
}

/** Outcome of folding entries. */
export interface FoldResult {
  accepted: Version[];
  refused: Refusal[];
  /** Entries at or below our index. */
  stale: number;
  /** True when an entry does not continue ours; the rest was not folded. */
  gap: boolean;
  /** True when an item is not a valid entry; the rest was not folded. */
  malformed: boolean;
}

/** Options of the fold. */
export interface FoldOptions {
  /**
   * True for entries read from the platform after our index. The platform may
   * have removed entries before a snapshot, so that snapshot may follow a gap.
   * In entries from a peer a gap means loss, and a snapshot after it could be
   * one that is refused when the full series is folded.
   */
  readonly fromSource?: boolean;
}

/** Folds entries in index order; the outcome depends only on the series. */
export function applyEntries(
  state: ConfigState,
  entries: readonly Entry[],
  {fromSource = false}: FoldOptions = {},
): FoldResult {
  const result: FoldResult = {
    accepted: [],
    refused: [],
    stale: 0,
    gap: false,
    malformed: false,
  };
  const list: readonly unknown[] = Array.isArray(entries) ? entries : [null];
  for (const [i, item] of list.entries()) {
    const entry = readEntry(item);
    if (!entry) {
      result.malformed = true;
      break;
    }
    if (entry.index <= state.index) {
      result.stale++;
      continue;
    }
    if (!foldEntry(state, entry, result, fromSource && i === 0)) {
      result.gap = true;
      break;
    }
  }
  return result;
}

function readEntry(item: unknown): Entry | undefined {
  const parsed = entrySchema.safeParse(item);
  return parsed.success ? parsed.data : undefined;
}

/** Folds one entry; false when it does not continue the series. */
function foldEntry(
  state: ConfigState,
  entry: Entry,
  result: FoldResult,
  mayFollowGap: boolean,
): boolean {
  const continues = entry.prev === state.index;
  const skipsGap =
    mayFollowGap && entry.kind === 'snapshot' && entry.prev > state.index;
  if (!continues && !skipsGap) return false;
  const checked = checkEntry(state.current, entry);
  if (!continues && !checked.ok) return false;
  if (!continues) clearLog(state);
  appendToLog(state, entry);
  if (checked.ok) {
    if (checked.value === state.current) return true;
    state.current = checked.value;
    result.accepted.push(checked.value);
    return true;
  }
  const refusal = describeRefusal(entry, checked);
  state.refusals.push(refusal);
  if (state.refusals.length > REFUSALS_KEPT) state.refusals.shift();
  result.refused.push(refusal);
  return true;
}

/** Advances past an entry and adds it to the log, within the log's limits. */
function appendToLog(state: ConfigState, entry: Entry): void {
  const size = measureJson(entry.value);
  const bytes = size.ok ? size.value : LOG_BYTES + 1;
  state.logPositions.push({...getPosition(state), index: entry.prev, bytes});
  state.log.push(entry);
  state.index = entry.index;
  let total = state.logPositions.reduce((sum, logged) => sum + logged.bytes, 0);
  while (state.log.length > LOG_ENTRIES || total > LOG_BYTES) {
    total -= state.logPositions[0].bytes;
    state.log.shift();
    state.logPositions.shift();
  }
}

function clearLog(state: ConfigState): void {
  state.log = [];
  state.logPositions = [];
}

function describeRefusal(
  entry: Entry,
  checked: Checked<Version> & {ok: false},
): Refusal {
  const value = (entry.value ?? {}) as {author?: unknown; base?: unknown};
  // Checkpoints carry refusals, so every field is bounded.
  return {
    index: entry.index,
    author: typeof value.author === 'string' ? value.author.slice(0, 100) : '',
    base: Number.isSafeInteger(value.base) ? (value.base as number) : 0,
    reason: checked.faults.join('; ').slice(0, MAX_REASON),
  };
}

/**
 * Entries that continue a position; empty at our own position, undefined when
 * the log does not reach back to it or the position is on a diverged history.
 */
export function findEntriesAfter(
  state: ConfigState,
  position: Position,
): Entry[] | undefined {
  if (isSamePosition(getPosition(state), position)) return [];
  const at = state.logPositions.findIndex(logged =>
    isSamePosition(logged, position),
  );
  return at < 0 ? undefined : state.log.slice(at);
}

function isSamePosition(a: Position, b: Position): boolean {
  return (
    a.index === b.index && a.version === b.version && a.digest === b.digest
  );
}

/** Outcome of applying a checkpoint. */
export type CheckpointOutcome =
  'applied' | 'same' | 'older' | 'conflict' | 'invalid';

/**
 * Replaces the state with a checkpoint if that moves it forward: to a higher
 * version, or to a higher index of the same version. A higher version may come
 * with a lower index when the platform was restored from an old copy.
 */
export function applyCheckpoint(
  state: ConfigState,
  msg: unknown,
): CheckpointOutcome {
  const parsed = MESSAGES.checkpoint.safeParse(msg);
  if (!parsed.success) return 'invalid';
  const {index, version, digest, document, refusals} = parsed.data;
  const ours = getPosition(state);
  if (version < ours.version) return 'older';
  if (version === ours.version) {
    if (digest !== ours.digest) return 'conflict';
    if (index <= ours.index) return 'same';
  } else {
    const checked = checkDocument(document);
    if (!checked.ok) return 'invalid';
    const next = createVersion(version, index, checked.value);
    if (next.digest !== digest) return 'invalid';
    state.current = next;
  }
  state.index = index;
  state.refusals = refusals.slice(-REFUSALS_KEPT);
  clearLog(state);
  return 'applied';
}

/**
 * Puts the newest accepted version in force, once the daemon knows which
 * versions its peers have. Called on every tick and after every change.
 */
export function updateInForce(board: Board, now: number): void {
  const {config} = board;
  const {current, inForce} = config;
  if (!config.confirmed) recordReports(board, now);
  if (!current) return;
  if (!inForce && !hasLearned(config)) return;
  const reported = config.learning.highestVersion;
  if (reported > 0 && current.version >= reported) config.confirmed = true;
  if (inForce && current.version <= inForce.version) return;
  config.inForce = current;
  count(board, 'config_versions_in_force');
  const {version, digest, index} = current;
  const detail = {version, digest, index, confirmed: config.confirmed};
  recordEvent(board.timeline, 'versionInForce', detail, now);
}

function recordReports(board: Board, now: number): void {
  const {learning, current} = board.config;
  const gapMs = now - (learning.updatedAt ?? board.startedAt);
  learning.elapsedMs += Math.min(Math.max(gapMs, 0), LEARN_STEP_MS);
  learning.updatedAt = now;
  for (const {peer, beat} of board.links.values()) {
    if (!beat || beat.version === 0) continue;
    // A peer with other content at our version does not confirm ours.
    const {version, digest} = beat;
    if (version === current?.version && digest !== current.digest) continue;
    learning.highestVersion = Math.max(learning.highestVersion, version);
    // A peer that is itself unconfirmed may be behind, so its report does not
    // shorten the window.
    if (!beat.confirmed) continue;
    const record = board.members.byId.get(peer)?.record;
    if (!record) continue;
    if (record.dataCentre === board.self.dataCentre) learning.sawOwn = true;
    else learning.sawOther = true;
  }
}

function hasLearned(config: ConfigState): boolean {
  const {highestVersion, sawOwn, sawOther, elapsedMs} = config.learning;
  if (highestVersion === 0) return elapsedMs >= LEARN_ALONE_MS;
  if ((config.current?.version ?? 0) < highestVersion) return false;
  return (sawOwn && sawOther) || elapsedMs >= LEARN_WINDOW_MS;
}
