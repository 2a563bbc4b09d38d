import {createHash} from 'node:crypto';
import type {CrashReport, MessageOf} from '../types/messages.js';
import {count, type Board, type Effect} from './blackboard.js';
import {recordEvent} from './timeline.js';

/** Number of crashes at which a request is refused. */
export const CRASH_BUDGET = 2;

/** Duration of isolation (one run at a time) after a crash, ms. */
export const SUSPECT_ISOLATION_MS = 10_000;

/**
 * Crashes within this time of each other count as one, ms: copies of a request
 * that were already in flight, or one fault that stops several upstreams.
 */
export const SAME_CRASH_MS = 500;

/** Duration of the first refusal, ms; doubles with each further crash. */
export const REFUSAL_MIN_MS = 60_000;

/** Maximum duration of a refusal, ms. */
export const REFUSAL_MAX_MS = 600_000;

/**
 * Retention of a crash, ms. It exceeds the isolation time, so that a customer
 * who resends slowly does not crash an upstream each time.
 */
export const CRASH_MEMORY_MS = 600_000;

/** Maximum number of tracked fingerprints; the oldest are dropped. */
export const MAX_SUSPECTS = 2_000;

/**
 * A request that completed within this time before a crash is not held
 * responsible for it, ms. Otherwise a frequent read, in flight whenever an
 * upstream fails under load, is refused everywhere for a minute, as seen in
 * bench:requests with overloaded cold upstreams.
 */
export const FINISHED_MEMORY_MS = 10_000;

/** Maximum number of tracked completed requests; the oldest are dropped. */
export const MAX_FINISHED = 4_096;

/** Maximum number of crashed upstreams tracked per fingerprint. */
const MAX_UPSTREAMS = 16;

/** Hex digits of a fingerprint. */
const FINGERPRINT_DIGITS = 32;

interface Suspect {
  /** Number of separate crashes; 0 after the request has completed. */
  crashes: number;
  /** Monotonic time of the latest recorded crash, ms. */
  crashedAt: number;
  /** Latest crash of each upstream: monotonic time, ms, and reported count. */
  upstreams: Map<string, {at: number; crashes: number}>;
  /** Isolated runs of this daemon in progress. */
  running: number;
  /** Monotonic end of the refusal, ms. */
  refusedUntil: number;
  refusalMs: number;
}

/** Requests in flight when upstreams crashed, by fingerprint. */
export interface Suspects {
  readonly byFingerprint: Map<string, Suspect>;
  /** Monotonic time of the latest completed run by fingerprint, ms. */
  readonly finished: Map<string, number>;
}

/** Creates the state of a daemon that has received no crash report. */
export function createSuspects(): Suspects {
  return {byFingerprint: new Map(), finished: new Map()};
}

/** Identifies a request by method, path with query, and body. */
export function computeFingerprint(
  method: string,
  target: string,
  body: Uint8Array,
): string {
  return createHash('sha256')
    .update(`${method} ${target}\n`)
    .update(body)
    .digest('hex')
    .slice(0, FINGERPRINT_DIGITS);
}

/** Records crash reports; returns those that were new. */
export function recordCrashes(
  state: Suspects,
  reports: readonly CrashReport[],
  now: number,
): CrashReport[] {
  return reports.filter(report => recordCrash(state, report, now));
}

function recordCrash(
  state: Suspects,
  report: CrashReport,
  now: number,
): boolean {
  if (report.ageMs > CRASH_MEMORY_MS) return false;
  const at = now - report.ageMs;
  if (hasFinishedSince(state, report.fingerprint, at - FINISHED_MEMORY_MS)) {
    return false;
  }
  const suspect = findOrCreate(state, report.fingerprint, now);
  const known = suspect.upstreams.get(report.upstream);
  const repeated = known !== undefined && at - known.at <= SUSPECT_ISOLATION_MS;
  // Otherwise copies of a cleared report would circulate in the mesh.
  if (repeated && report.crashes <= known.crashes) return false;
  recordUpstreamCrash(suspect, report, repeated ? known.at : at);
  const separate =
    suspect.crashes === 0 || at - suspect.crashedAt > SAME_CRASH_MS;
  const counted = suspect.crashes + (separate && !repeated ? 1 : 0);
  const crashes = Math.max(counted, report.crashes);
  suspect.crashedAt = Math.max(suspect.crashedAt, at);
  if (crashes > suspect.crashes) updateCrashCount(suspect, crashes, now);
  return true;
}

/** What a daemon tells another one of a request that crashed upstreams. */
export interface SuspectRecord {
  readonly fingerprint: string;
  /** Upstream of the latest crash. */
  readonly upstream: string;
  readonly crashes: number;
  /** Time since the latest crash, ms. */
  readonly ageMs: number;
  /** Duration of the latest refusal, ms; 0 without one. */
  readonly refusalMs: number;
  /** Time until that refusal ends, ms; negative since its end. */
  readonly refusalEndsInMs?: number;
}

/** Reads what is known of a request; undefined if it crashed no upstream. */
export function readSuspectRecord(
  state: Suspects,
  fingerprint: string,
  now: number,
): SuspectRecord | undefined {
  const suspect = findSuspect(state, fingerprint, now);
  if (!suspect || suspect.crashes === 0) return undefined;
  const {crashes, crashedAt, refusedUntil, refusalMs, upstreams} = suspect;
  let [latest] = upstreams;
  for (const item of upstreams) if (item[1].at > latest[1].at) latest = item;
  const record = {
    fingerprint,
    upstream: latest[0],
    crashes,
    ageMs: Math.max(0, now - crashedAt),
    refusalMs,
  };
  if (refusalMs === 0) return record;
  return {...record, refusalEndsInMs: refusedUntil - now};
}

/** Lists what is known of requests that crashed upstreams, those that were held
 * responsible last first. */
export function listSuspectRecords(
  state: Suspects,
  now: number,
  limit: number,
): SuspectRecord[] {
  const records: SuspectRecord[] = [];
  for (const fingerprint of [...state.byFingerprint.keys()].reverse()) {
    if (records.length >= limit) break;
    const record = readSuspectRecord(state, fingerprint, now);
    if (record) records.push(record);
  }
  return records;
}

/**
 * Adopts what another daemon knows; returns the records that were news. The
 * larger number of crashes and the later end of a refusal hold.
 */
export function mergeSuspectRecords(
  state: Suspects,
  records: readonly SuspectRecord[],
  now: number,
): SuspectRecord[] {
  return records.filter(record => mergeRecord(state, record, now));
}

function mergeRecord(
  state: Suspects,
  record: SuspectRecord,
  now: number,
): boolean {
  const {fingerprint, upstream, refusalMs, refusalEndsInMs} = record;
  const at = now - record.ageMs;
  const refusedUntil = now + (refusalEndsInMs ?? -Infinity);
  if (now - Math.max(at, refusedUntil) > CRASH_MEMORY_MS) return false;
  if (hasFinishedSince(state, fingerprint, at - FINISHED_MEMORY_MS)) {
    return false;
  }
  const suspect = findOrCreate(state, fingerprint, now);
  const isKnown = suspect.upstreams.has(upstream);
  const isSeparate =
    !isKnown &&
    suspect.crashes > 0 &&
    Math.abs(at - suspect.crashedAt) > SAME_CRASH_MS;
  const counted = suspect.crashes + (isSeparate ? 1 : 0);
  const isNews = counted > suspect.crashes || record.crashes > suspect.crashes;
  if (!isKnown) recordUpstreamCrash(suspect, record, at);
  suspect.crashedAt = Math.max(suspect.crashedAt, at);
  suspect.refusedUntil = Math.max(suspect.refusedUntil, refusedUntil);
  suspect.refusalMs = Math.max(suspect.refusalMs, refusalMs);
  // A number that is taken over brings its refusal with it.
  if (record.crashes >= counted) suspect.crashes = record.crashes;
  else updateCrashCount(suspect, counted, now);
  return isNews;
}

function updateCrashCount(
  suspect: Suspect,
  crashes: number,
  now: number,
): void {
  suspect.crashes = crashes;
  if (crashes < CRASH_BUDGET || now < suspect.refusedUntil) return;
  const refusalMs = suspect.refusalMs * 2 || REFUSAL_MIN_MS;
  suspect.refusalMs = Math.min(REFUSAL_MAX_MS, refusalMs);
  suspect.refusedUntil = now + suspect.refusalMs;
}

function recordUpstreamCrash(
  suspect: Suspect,
  report: Pick<CrashReport, 'upstream' | 'crashes'>,
  at: number,
): void {
  const {upstream, crashes} = report;
  suspect.upstreams.delete(upstream);
  suspect.upstreams.set(upstream, {at, crashes});
  if (suspect.upstreams.size <= MAX_UPSTREAMS) return;
  const [oldest] = suspect.upstreams.keys();
  suspect.upstreams.delete(oldest);
}

function findOrCreate(
  state: Suspects,
  fingerprint: string,
  now: number,
): Suspect {
  const {byFingerprint} = state;
  const found = findSuspect(state, fingerprint, now);
  if (found) return found;
  if (byFingerprint.size >= MAX_SUSPECTS) {
    const [oldest] = byFingerprint.keys();
    byFingerprint.delete(oldest);
  }
  const created: Suspect = {
    crashes: 0,
    crashedAt: -Infinity,
    upstreams: new Map(),
    running: 0,
    refusedUntil: -Infinity,
    refusalMs: 0,
  };
  byFingerprint.set(fingerprint, created);
  return created;
}

function findSuspect(
  state: Suspects,
  fingerprint: string,
  now: number,
): Suspect | undefined {
  const suspect = state.byFingerprint.get(fingerprint);
  if (!suspect) return undefined;
  const lastAt = Math.max(suspect.refusedUntil, suspect.crashedAt);
  if (suspect.running > 0 || now - lastAt <= CRASH_MEMORY_MS) return suspect;
  state.byFingerprint.delete(fingerprint);
  return undefined;
}

/**
 * How to handle a request: `send` it normally, run it `alone` (isolated: one
 * run at a time from this daemon), `wait` for the end of that run, or `refuse`.
 */
export interface SuspectDecision {
  readonly action: 'send' | 'alone' | 'wait' | 'refuse';
  /** Number of known crashes of this request. */
  readonly crashes: number;
  /** Time until the refusal ends, ms; 0 when not refused. */
  readonly retryAfterMs: number;
}

const NOT_SUSPECT: SuspectDecision = {
  action: 'send',
  crashes: 0,
  retryAfterMs: 0,
};

/** Decides how to handle a request from the crashes of its fingerprint. */
export function classifyRequest(
  state: Suspects,
  fingerprint: string,
  now: number,
): SuspectDecision {
  if (state.byFingerprint.size === 0) return NOT_SUSPECT;
  const suspect = findSuspect(state, fingerprint, now);
  if (!suspect || suspect.crashes === 0) return NOT_SUSPECT;
  const {crashes, running, refusedUntil} = suspect;
  const retryAfterMs = Math.max(0, refusedUntil - now);
  if (retryAfterMs > 0) return {action: 'refuse', crashes, retryAfterMs};
  // After a refusal, one isolated run shows whether the request still crashes.
  const isolated =
    crashes >= CRASH_BUDGET || now - suspect.crashedAt <= SUSPECT_ISOLATION_MS;
  const action = !isolated ? 'send' : running > 0 ? 'wait' : 'alone';
  return {action, crashes, retryAfterMs};
}

/** Records the start of a run with action `alone`. */
export function startIsolatedRun(state: Suspects, fingerprint: string): void {
  const suspect = state.byFingerprint.get(fingerprint);
  if (suspect) suspect.running++;
}

/** Records the end of a run with action `alone`, whatever its outcome. */
export function endIsolatedRun(state: Suspects, fingerprint: string): void {
  const suspect = state.byFingerprint.get(fingerprint);
  if (suspect && suspect.running > 0) suspect.running--;
}

/** Records a completed run; ends the refusal and clears earlier crashes. */
export function recordFinished(
  state: Suspects,
  fingerprint: string,
  now: number,
): void {
  const {finished, byFingerprint} = state;
  // Reinserting keeps the map ordered by completion time.
  finished.delete(fingerprint);
  finished.set(fingerprint, now);
  if (finished.size > MAX_FINISHED) {
    const [oldest] = finished.keys();
    finished.delete(oldest);
  }
  const suspect = byFingerprint.get(fingerprint);
  if (!suspect) return;
  // The upstreams are kept to recognise late copies of their reports.
  suspect.crashes = 0;
  suspect.refusalMs = 0;
  suspect.refusedUntil = -Infinity;
}

function hasFinishedSince(
  state: Suspects,
  fingerprint: string,
  since: number,
): boolean {
  const at = state.finished.get(fingerprint);
  return at !== undefined && at >= since;
}

/**
 * Records that an upstream crashed with these requests in flight. An entry
 * passes in `knownCrashes` the number it knew when it sent the request: the run
 * came after these, so its crash counts separately. An owner passes 0. Returns
 * the effects that report the crash to all peers.
 */
export function reportCrashes(
  board: Board,
  fingerprints: readonly string[],
  crash: {service: string; upstream: string; knownCrashes: number},
  now: number,
): Effect[] {
  const {service, upstream, knownCrashes} = crash;
  const crashes = knownCrashes + 1;
  const reports = fingerprints.map(fingerprint => {
    return {fingerprint, service, upstream, crashes, ageMs: 0};
  });
  return relayNewReports(board, reports, now);
}

/** Handles a `crash` message: relays new reports on all other links. */
export function handleCrash(
  board: Board,
  from: string,
  msg: MessageOf<'crash'>,
  now: number,
): Effect[] {
  count(board, 'crash_reports_received', msg.reports.length);
  return relayNewReports(board, msg.reports, now, from);
}

function relayNewReports(
  board: Board,
  received: readonly CrashReport[],
  now: number,
  from?: string,
): Effect[] {
  const reports = recordCrashes(board.suspects, received, now);
  if (reports.length === 0) return [];
  count(board, 'crash_reports_new', reports.length);
  for (const {fingerprint, upstream, crashes} of reports) {
    const detail = {fingerprint, upstream, crashes};
    recordEvent(board.timeline, 'suspectHeld', detail, now);
  }
  const effects: Effect[] = [];
  for (const peer of board.links.keys()) {
    if (peer === from) continue;
    effects.push({kind: 'send', to: peer, msg: {t: 'crash', reports}});
  }
  return effects;
}
