import type {Entry} from '../types/document.js';
import {computeBackoff} from '../utils/backoff.js';
import {rankByRendezvous} from '../utils/hash.js';
import {count, type Board, type Effect} from './blackboard.js';
import {listMembers} from './membership.js';
import {acceptEntries, relayEntries} from './relay.js';
import {findNewestSuccess} from './source_age.js';
import {recordEvent} from './timeline.js';

export {computeSourceAge} from './source_age.js';

/** Longest time for which the source delays a reply without new entries, ms. */
export const POLL_WAIT_MS = 2_000;

/** Age of the newest source reply at which rank 2 starts to read, ms. */
export const TAKEOVER_MS = 4_000;

/** Additional age per further rank, ms. */
export const TAKEOVER_STEP_MS = 1_000;

/** Ranks below this one always read. */
export const READERS = 2;

/** Ranks from this one on never take over. */
export const MAX_READER_RANKS = 8;

/** First and longest backoff between failed reads, ms. */
export const READ_BACKOFF_MS = {base: 200, cap: 10_000} as const;

/**
 * Time after which a read without an outcome counts as failed, ms. The client
 * of the source has a shorter timeout; this guards against a lost outcome.
 */
export const READ_TIMEOUT_MS = 10_000;

/**
 * Largest part of one gap between ticks that counts as waiting, ms. The outcome
 * may be waiting in a socket when a paused process resumes.
 */
const WAIT_STEP_MS = 1_000;

const TAKEOVER_JITTER_MS = 500;

/**
 * Longest time for which a daemon that knows no version waits before its first
 * read, ms. Large groups restart together, and a daemon that knows no members
 * yet computes rank 0 for itself.
 */
const LEARN_SPREAD_MS = 1_000;

/**
 * Shortest interval between reads that bring no entries, ms. Otherwise a
 * source that replies at once would be read in a tight loop.
 */
const MIN_READ_INTERVAL_MS = 250;

/**
 * Time for which a rank that has taken over reads before it pauses for a check,
 * ms. Its own successes spread in heartbeats like those of others, so it can
 * see a lower rank succeed only while it does not read itself.
 */
export const TAKEOVER_READ_MS = 20_000;

/** Length of that check, ms; heartbeats need about one interval per hop. */
export const TAKEOVER_CHECK_MS = 3_000;

/**
 * Amount by which a reported success must be newer than our own to come from
 * another reader, ms. Peers report our own success back with the delay of the
 * links.
 */
const ECHO_MARGIN_MS = 500;

/** State of the reads from the configuration service. */
export interface ReaderState {
  /** True while a read is pending. */
  pending: boolean;
  /** Monotonic time of our newest successful reply, ms. */
  succeededAt?: number;
  /** Monotonic time of the newest success that peers have reported, ms. */
  reportedAt?: number;
  failures: number;
  /** Earliest monotonic time of the next read, ms. */
  nextReadAt: number;
  /** Monotonic time of the newest read, ms. */
  readStartedAt: number;
  /** Duration of the pending read so far, without pauses, ms. */
  waitedMs: number;
  /** Monotonic time of the newest tick, ms. */
  tickedAt?: number;
  /** Index that the newest read follows. */
  readAfter?: number;
  /** True while this daemon is one of the readers. */
  active: boolean;
  /** Monotonic time of the takeover or the end of its last check, ms. */
  tookOverAt?: number;
  /** Random fraction of the jitter range for the next start, in [0, 1). */
  jitter?: number;
  /** True while replies are stale, so that each episode is recorded once. */
  stale: boolean;
}

/** Creates the state of a daemon that has not read yet. */
export function createReaderState(): ReaderState {
  return {
    pending: false,
    failures: 0,
    nextReadAt: 0,
    readStartedAt: 0,
    waitedMs: 0,
    active: false,
    stale: false,
  };
}

/** Rank of this daemon among the live members of its data centre. */
export function computeReaderRank(board: Board): number {
  const {id, dataCentre} = board.self;
  const live = listMembers(board, {dataCentre, states: ['live']});
  const ids = new Set(live.map(record => record.id)).add(id);
  return rankByRendezvous(`reader/${dataCentre}`, ids).indexOf(id);
}

/** Starts the next read if this daemon is a reader and the read is due. */
export function tickReader(board: Board, now: number): Effect[] {
  const {reader} = board;
  reader.waitedMs += Math.min(now - (reader.tickedAt ?? now), WAIT_STEP_MS);
  reader.tickedAt = now;
  if (reader.pending && reader.waitedMs >= READ_TIMEOUT_MS) {
    return handleSourceError(board, now, 'no outcome');
  }
  const rank = computeReaderRank(board);
  setActive(board, shouldRead(board, rank, now), rank, now);
  if (!reader.active || reader.pending || now < reader.nextReadAt) return [];
  reader.pending = true;
  reader.readStartedAt = now;
  reader.waitedMs = 0;
  reader.readAfter = board.config.index;
  count(board, 'source_reads');
  const after = board.config.index;
  return [{kind: 'readSource', after, waitMs: POLL_WAIT_MS}];
}

function setActive(
  board: Board,
  active: boolean,
  rank: number,
  now: number,
): void {
  const {reader, timeline} = board;
  if (active === reader.active) return;
  reader.active = active;
  reader.jitter = undefined;
  const kind = active ? 'readerStarted' : 'readerStopped';
  recordEvent(timeline, kind, {rank}, now);
}

function shouldRead(board: Board, rank: number, now: number): boolean {
  const {reader, self} = board;
  if (self.state === 'leaving' || isStartDelayed(board, now)) return false;
  if (rank < READERS) {
    reader.tookOverAt = undefined;
    return true;
  }
  if (shouldLearn(board, rank)) return true;
  if (rank >= MAX_READER_RANKS) {
    reader.tookOverAt = undefined;
    return false;
  }
  if (reader.tookOverAt === undefined) return takeOverIfDue(board, rank, now);
  return continueTakeover(reader, now);
}

function isStartDelayed(
  {config, reader, random, startedAt}: Board,
  now: number,
) {
  if (config.current) return false;
  reader.jitter ??= random();
  return now - startedAt < reader.jitter * LEARN_SPREAD_MS;
}

/**
 * A daemon without any version reads whatever its rank. Ranks that never take
 * over rely on their peers if they have any, so that an outage of the source
 * does not make the whole fleet call it.
 */
function shouldLearn({config, links}: Board, rank: number): boolean {
  return !config.current && (rank < MAX_READER_RANKS || links.size === 0);
}

/** Starts a takeover when the newest success is too old for this rank. */
function takeOverIfDue(board: Board, rank: number, now: number): boolean {
  const {reader, startedAt, random} = board;
  reader.jitter ??= random();
  const ageMs = now - (findNewestSuccess(board) ?? startedAt);
  const limitMs =
    TAKEOVER_MS +
    (rank - READERS) * TAKEOVER_STEP_MS +
    reader.jitter * TAKEOVER_JITTER_MS;
  if (ageMs <= limitMs) return false;
  reader.tookOverAt = now;
  return true;
}

/** Ends a takeover when another reader succeeds; pauses reads to detect it. */
function continueTakeover(reader: ReaderState, now: number): boolean {
  const {tookOverAt = now, succeededAt = -Infinity, reportedAt} = reader;
  const own = Math.max(tookOverAt, succeededAt);
  if (reportedAt !== undefined && reportedAt > own + ECHO_MARGIN_MS) {
    reader.tookOverAt = undefined;
    return false;
  }
  const takeoverMs = now - tookOverAt;
  // Only a success of our own can hide those of others.
  const hidesOthers = succeededAt >= tookOverAt;
  if (!hidesOthers || takeoverMs < TAKEOVER_READ_MS) return true;
  if (takeoverMs < TAKEOVER_READ_MS + TAKEOVER_CHECK_MS) return false;
  reader.tookOverAt = now;
  return true;
}

/** Folds a reply of the source, relays new entries and starts the next read. */
export function handleSourceReply(
  board: Board,
  reply: {index: number; entries: readonly Entry[]},
  now: number,
): Effect[] {
  const {reader, config} = board;
  const entries = normaliseReply(reply);
  if (!entries) return handleSourceError(board, now, 'malformed');
  const before = config.index;
  const asked = reader.readAfter ?? before;
  reader.pending = false;
  reader.readAfter = undefined;
  // Peers may have sent newer entries during the read, so the reply is compared
  // with the index that the read asked for.
  if (reply.index < asked) return skipStaleReply(board, reply.index, now);
  const {gap} = acceptEntries(board, entries, now, {fromSource: true});
  const fresh = entries.filter(
    ({index}) => index > before && index <= config.index,
  );
  if (gap && fresh.length === 0) return skipStaleReply(board, reply.index, now);
  recordSuccess(board, fresh.length > 0, now);
  return [...relayEntries(board, fresh), ...tickReader(board, now)];
}

/**
 * Entries of a reply in the form that peers accept; undefined if malformed.
 * An overlong kind is truncated, so that every daemon refuses the entry and the
 * series continues.
 */
function normaliseReply(reply: unknown): Entry[] | undefined {
  const {index, entries} = (reply ?? {}) as {
    index?: unknown;
    entries?: unknown;
  };
  if (!isIndex(index) || !Array.isArray(entries)) return undefined;
  const result: Entry[] = [];
  for (const item of entries as unknown[]) {
    const raw = (item ?? {}) as Partial<Record<keyof Entry, unknown>>;
    if (!isIndex(raw.index) || !isIndex(raw.prev)) return undefined;
    if (raw.index <= raw.prev) return undefined;
    const kind = typeof raw.kind === 'string' ? raw.kind.slice(0, 32) : '';
    const value = raw.value ?? null;
    result.push({index: raw.index, prev: raw.prev, kind, value});
  }
  return result;
}

function isIndex(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function recordSuccess(board: Board, hasNew: boolean, now: number): void {
  const {reader, timeline} = board;
  count(board, 'source_replies');
  if (reader.failures > 0) {
    const {failures} = reader;
    recordEvent(timeline, 'sourceRecovered', {failures}, now);
  }
  reader.failures = 0;
  reader.stale = false;
  reader.succeededAt = now;
  reader.nextReadAt = hasNew
    ? now
    : reader.readStartedAt + MIN_READ_INTERVAL_MS;
}

/**
 * Counts and ignores a reply that is behind or does not continue our series.
 * It does not count as a success, so that ranks that see another copy of the
 * source take over.
 */
function skipStaleReply(board: Board, index: number, now: number): Effect[] {
  const {reader, config, timeline} = board;
  count(board, 'source_stale_replies');
  if (!reader.stale) {
    const detail = {index, ours: config.index};
    recordEvent(timeline, 'sourceStale', detail, now);
  }
  reader.stale = true;
  delayNextRead(board, now);
  return [];
}

/** Handles a failed read; the next one follows after a backoff. */
export function handleSourceError(
  board: Board,
  now: number,
  reason = 'failed',
): Effect[] {
  const {reader, timeline} = board;
  count(board, 'source_errors');
  if (reader.failures === 0) {
    recordEvent(timeline, 'sourceFailed', {reason}, now);
  }
  reader.pending = false;
  reader.readAfter = undefined;
  delayNextRead(board, now);
  return [];
}

function delayNextRead(board: Board, now: number): void {
  const {reader, random} = board;
  const {base, cap} = READ_BACKOFF_MS;
  reader.nextReadAt = now + computeBackoff(reader.failures, base, cap, random);
  reader.failures++;
}
