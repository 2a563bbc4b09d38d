import type {Entry} from '../types/document.js';
import type {MessageOf} from '../types/messages.js';
import {count, type Board, type Effect} from './blackboard.js';
import {
  applyCheckpoint,
  applyEntries,
  findEntriesAfter,
  getPosition,
  LOG_BYTES,
  LOG_ENTRIES,
  updateInForce,
  type FoldOptions,
  type FoldResult,
} from './config.js';
import {MAX_VALUE_BYTES, measureJson} from './json.js';
import {
  isConflict,
  isNewer,
  hasDiverged,
  recordConflict,
} from './divergence.js';
import {recordSourceAge} from './source_age.js';
import {recordEvent} from './timeline.js';
import {
  requestIfBehind,
  AVOID_MS,
  delayNextRequest,
  requestEntries,
  CATCH_UP_TIMEOUT_MS,
} from './catch_up.js';

/** Maximum number of concurrent checkpoint transfers. */
export const MAX_TRANSFERS = 2;

/** Time after which an unconfirmed checkpoint no longer counts, ms. */
export const TRANSFER_TIMEOUT_MS = 5_000;

/** Wait requested of a peer while the transfer limit is reached, ms. */
export const BUSY_RETRY_MS = 1_000;

/** Longest wait that a peer can request, ms. */
const MAX_BUSY_MS = 30_000;

/** A checkpoint sent to a peer and not yet confirmed. */
export interface Transfer {
  /** Monotonic time, ms. */
  readonly startedAt: number;
  readonly index: number;
  readonly version: number;
}

/** State of the exchange of entries and checkpoints with peers. */
export interface RelayState {
  /** Unconfirmed checkpoints, by peer. */
  readonly transfers: Map<string, Transfer>;
  /** Highest index that each peer is known to have reached. */
  readonly peerIndex: Map<string, number>;
  /** Monotonic time before which a peer is not asked, ms. */
  readonly avoid: Map<string, number>;
  /** Conflict last recorded for a peer, so that each is counted once. */
  readonly conflicts: Map<string, string>;
  /** The unanswered request; there is at most one. */
  pending?: {
    readonly peer: string;
    readonly after: number;
    /** Monotonic, ms. */
    readonly sentAt: number;
  };
  /** Consecutive failed requests. */
  attempt: number;
  /** Monotonic time before which no peer is asked, ms. */
  nextRequestAt: number;
}

/** Creates the state of a daemon without transfers. */
export function createRelayState(): RelayState {
  return {
    transfers: new Map(),
    peerIndex: new Map(),
    avoid: new Map(),
    conflicts: new Map(),
    attempt: 0,
    nextRequestAt: 0,
  };
}

/** Folds entries, records metrics and events, updates the version in force. */
export function acceptEntries(
  board: Board,
  entries: readonly Entry[],
  now: number,
  options: FoldOptions = {},
): FoldResult {
  const result = applyEntries(board.config, entries, options);
  count(board, 'config_entries_accepted', result.accepted.length);
  count(board, 'config_entries_refused', result.refused.length);
  count(board, 'config_entries_stale', result.stale);
  if (result.gap) count(board, 'config_gaps');
  if (result.malformed) count(board, 'config_entries_malformed');
  for (const {index, author, reason} of result.refused) {
    recordEvent(board.timeline, 'entryRefused', {index, author, reason}, now);
  }
  updateInForce(board, now);
  return result;
}

/** Pushes new entries on all links that need them, except to their sender. */
export function relayEntries(
  board: Board,
  entries: readonly Entry[],
  from?: string,
): Effect[] {
  const effects: Effect[] = [];
  for (const link of board.links.values()) {
    const {peer} = link;
    if (peer === from || hasDiverged(board, link)) continue;
    const known = board.relay.peerIndex.get(peer) ?? link.beat?.index ?? 0;
    const fresh = entries.filter(entry => entry.index > known);
    if (fresh.length > 0) effects.push(...sendEntries(peer, fresh));
  }
  count(board, 'relay_pushes', effects.length);
  return effects;
}

/** Splits entries into messages that fit a frame of a link. */
function sendEntries(to: string, entries: readonly Entry[]): Effect[] {
  const effects: Effect[] = [];
  let chunk: Entry[] = [];
  let bytes = 0;
  const flush = () => {
    if (chunk.length === 0) return;
    effects.push(createEntriesEffect(to, chunk[0].prev, chunk));
    chunk = [];
    bytes = 0;
  };
  for (const entry of entries) {
    const size = measureJson(entry.value);
    // The entry does not fit a frame; peers skip it with a checkpoint.
    if (!size.ok || size.value > MAX_VALUE_BYTES) continue;
    const full = chunk.length >= LOG_ENTRIES || bytes + size.value > LOG_BYTES;
    if (full) flush();
    chunk.push(entry);
    bytes += size.value;
  }
  flush();
  return effects;
}

function createEntriesEffect(
  to: string,
  after: number,
  entries: Entry[],
): Effect {
  return {kind: 'send', to, msg: {t: 'entries', after, entries}};
}

/** Handles entries from a peer: a push, or the answer to our request. */
export function handleEntries(
  board: Board,
  from: string,
  msg: MessageOf<'entries'>,
  now: number,
): Effect[] {
  const {config, relay} = board;
  const link = board.links.get(from);
  if (link && hasDiverged(board, link)) {
    count(board, 'relay_entries_other_line');
    return [];
  }
  recordPeerIndex(board, from, msg.entries.at(-1)?.index ?? msg.after);
  const before = config.index;
  const {gap} = acceptEntries(board, msg.entries, now);
  const fresh = msg.entries.filter(
    ({index}) => index > before && index <= config.index,
  );
  const {pending} = relay;
  if (pending?.peer === from && pending.after === msg.after) {
    relay.pending = undefined;
    if (fresh.length === 0) delayNextRequest(board, from, now, AVOID_MS);
  }
  if (fresh.length > 0) relay.attempt = 0;
  const effects = relayEntries(board, fresh, from);
  if (gap) count(board, 'relay_gaps');
  return [...effects, ...requestIfBehind(board, now, gap ? from : undefined)];
}

/** Answers a peer that is behind with entries from the log or a checkpoint. */
export function handleWant(
  board: Board,
  from: string,
  msg: MessageOf<'want'>,
  now: number,
): Effect[] {
  const {config, relay} = board;
  recordPeerIndex(board, from, msg.after);
  releaseTransfer(relay, from, msg.after, msg.version);
  if (isConflict(getPosition(config), msg)) {
    recordConflict(board, from, msg, now);
    return [];
  }
  const position = {...msg, index: msg.after};
  const entries = findEntriesAfter(config, position);
  if (!entries && isNewer(getPosition(config), position)) {
    return sendCheckpoint(board, from, now);
  }
  if (!entries || entries.length === 0) {
    return [createEntriesEffect(from, msg.after, [])];
  }
  count(board, 'relay_catch_ups');
  return sendEntries(from, entries);
}

function sendCheckpoint(board: Board, to: string, now: number): Effect[] {
  const {config, relay} = board;
  const {current, index, refusals} = config;
  if (!current) return [];
  if (!relay.transfers.has(to) && relay.transfers.size >= MAX_TRANSFERS) {
    count(board, 'relay_busy_sent');
    const msg = {t: 'busy', retryAfterMs: BUSY_RETRY_MS} as const;
    return [{kind: 'send', to, msg}];
  }
  count(board, 'relay_checkpoints_sent');
  const {version, digest, document} = current;
  relay.transfers.set(to, {startedAt: now, index, version});
  const msg: MessageOf<'checkpoint'> = {
    t: 'checkpoint',
    index,
    version,
    digest,
    document,
    refusals: [...refusals],
  };
  return [{kind: 'send', to, msg}];
}

/** Ends the transfer to a peer that has reached the checkpoint's position. */
function releaseTransfer(
  relay: RelayState,
  peer: string,
  index: number,
  version: number,
): void {
  const transfer = relay.transfers.get(peer);
  if (!transfer || version < transfer.version) return;
  if (version > transfer.version || index >= transfer.index) {
    relay.transfers.delete(peer);
  }
}

/** Handles a checkpoint from a peer. */
export function handleCheckpoint(
  board: Board,
  from: string,
  msg: MessageOf<'checkpoint'>,
  now: number,
): Effect[] {
  const {relay, config} = board;
  const outcome = applyCheckpoint(config, msg);
  count(board, `config_checkpoints_${outcome}`);
  if (relay.pending?.peer === from) relay.pending = undefined;
  if (outcome === 'conflict') recordConflict(board, from, msg, now);
  if (outcome !== 'applied') {
    delayNextRequest(board, from, now, AVOID_MS);
    return [];
  }
  const {index, version, digest} = msg;
  const detail = {from, index, version, digest};
  recordEvent(board.timeline, 'checkpointApplied', detail, now);
  updateInForce(board, now);
  recordPeerIndex(board, from, index);
  relay.attempt = 0;
  // The request confirms the transfer to the sender and asks for entries that
  // were published since.
  return [...announceIndex(board, from), ...requestEntries(board, from, now)];
}

/**
 * Announces the index reached by a checkpoint to other peers. Otherwise it
 * would spread by heartbeats only, at one hop per interval.
 */
function announceIndex(board: Board, from: string): Effect[] {
  const {index} = board.config;
  return [...board.links.values()]
    .filter(link => link.peer !== from && !hasDiverged(board, link))
    .filter(link => (board.relay.peerIndex.get(link.peer) ?? 0) < index)
    .map(link => createEntriesEffect(link.peer, index, []));
}

/** Handles a refused transfer; another peer is asked after a backoff. */
export function handleBusy(
  board: Board,
  from: string,
  msg: MessageOf<'busy'>,
  now: number,
): Effect[] {
  const {relay} = board;
  count(board, 'relay_busy_received');
  if (relay.pending?.peer === from) relay.pending = undefined;
  delayNextRequest(board, from, now, Math.min(msg.retryAfterMs, MAX_BUSY_MS));
  return [];
}

/** Applies a peer's heartbeat and requests entries if a peer is ahead. */
export function handleHeartbeatConfig(
  board: Board,
  from: string,
  msg: MessageOf<'beat'>,
  now: number,
): Effect[] {
  const {relay} = board;
  const link = board.links.get(from);
  if (link) link.beat = msg;
  relay.peerIndex.set(from, msg.index);
  releaseTransfer(relay, from, msg.index, msg.version);
  recordSourceAge(board, from, msg.sourceAgeMs, now);
  if (isConflict(getPosition(board.config), msg)) {
    recordConflict(board, from, msg, now);
  } else {
    relay.conflicts.delete(from);
  }
  updateInForce(board, now);
  return requestIfBehind(board, now);
}

/** Expires transfers and requests, and repeats requests while behind. */
export function tickRelay(board: Board, now: number): Effect[] {
  const {relay, links} = board;
  for (const [peer, {startedAt}] of relay.transfers) {
    const overdue = now - startedAt >= TRANSFER_TIMEOUT_MS;
    if (overdue || !links.has(peer)) relay.transfers.delete(peer);
  }
  for (const [peer, until] of relay.avoid) {
    if (until <= now) relay.avoid.delete(peer);
  }
  for (const map of [relay.peerIndex, relay.conflicts]) {
    for (const peer of map.keys()) if (!links.has(peer)) map.delete(peer);
  }
  const {pending} = relay;
  if (pending && !links.has(pending.peer)) {
    relay.pending = undefined;
  } else if (pending && now - pending.sentAt >= CATCH_UP_TIMEOUT_MS) {
    count(board, 'relay_wants_timed_out');
    relay.pending = undefined;
    delayNextRequest(board, pending.peer, now, AVOID_MS);
  }
  return requestIfBehind(board, now);
}

function recordPeerIndex(board: Board, peer: string, index: number): void {
  const {peerIndex} = board.relay;
  peerIndex.set(peer, Math.max(peerIndex.get(peer) ?? 0, index));
}
