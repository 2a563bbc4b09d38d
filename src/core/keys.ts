import type {IncomingHttpHeaders} from 'node:http';
import type {Outcome} from '../types/verdict.js';
import {sign, verify} from '../utils/auth.js';

/** Lifetime of a bound key, ms. */
export const KEY_LIFETIME_MS = 600_000;

/** Clock skew allowed between the daemon that mints a key and its owner, ms. */
export const KEY_SKEW_MS = 60_000;

/** Maximum number of key records of one owner. */
export const MAX_KEYS = 20_000;

/** Maximum size of a recorded answer, bytes. */
export const MAX_RECORDED_BYTES = 4_096;

/** Maximum total of recorded answers, bytes: 1/8 of the memory of a daemon. */
export const MAX_TABLE_BYTES = 16_777_216;

const PREFIX = 'bk1';
const SWEEP_EVERY_MS = 1_000;
const KEY_PATTERN =
  /^bk1~([a-z0-9][a-z0-9.-]{0,62})~([0-9a-f]{16})~(\d{1,15})~([\w-]{1,64})~([0-9a-f]{64})$/;

/** Fields of a bound key; owner and boot together identify one process. */
export interface KeyParts {
  readonly owner: string;
  readonly boot: string;
  /** Wall time, ms. */
  readonly expiresAt: number;
  readonly nonce: string;
}

/** Parsed bound key with a valid MAC. */
export interface BoundKey extends KeyParts {
  readonly text: string;
}

/** Answer recorded for repeated requests with the same key. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Result of a run: complete answer, answer too large to record, or unknown. */
export type KeyResult =
  | {kind: 'answer'; answer: RecordedAnswer}
  | {kind: 'ran'; status: number}
  | {kind: 'mayHaveRun'};

/** Record of a key whose request has been started. */
export interface KeyRecord {
  readonly expiresAt: number;
  readonly fingerprint: string;
  /** Undefined while the request is running. */
  result?: KeyResult;
  /** Resolves with the result; undefined when the record was dropped. */
  readonly done: Promise<KeyResult | undefined>;
  readonly settle: (result: KeyResult | undefined) => void;
  /** Number of repeated requests waiting for the result. */
  waiters: number;
}

/** Key records of one process; a restart loses them and changes the boot. */
export interface KeyTable {
  readonly records: Map<string, KeyRecord>;
  /** Total size of recorded answers, bytes. */
  bytes: number;
  /** Latest wall time passed to the table, ms; never decreases. */
  clockMs: number;
  sweptAt: number;
}

/** Decision on a keyed request; `join` waits for the run in progress. */
export type KeyDecision =
  | {kind: 'start'; record: KeyRecord}
  | {kind: 'join'; record: KeyRecord}
  | {kind: 'recorded'; result: KeyResult}
  | {kind: 'refused'; outcome: Outcome};

/** Formats and signs a bound key. */
export function mintKey(secret: string, parts: KeyParts): string {
  const {owner, boot, expiresAt, nonce} = parts;
  const fields = [PREFIX, owner, boot, String(expiresAt), nonce];
  return [...fields, sign(secret, ...fields)].join('~');
}

/** Parses a bound key; undefined when malformed or its MAC is wrong. */
export function parseKey(secret: string, text: string): BoundKey | undefined {
  const match = KEY_PATTERN.exec(text);
  if (!match) return undefined;
  const [, owner, boot, expiry, nonce, mac] = match;
  if (!verify(secret, mac, PREFIX, owner, boot, expiry, nonce)) {
    return undefined;
  }
  return {text, owner, boot, expiresAt: Number(expiry), nonce};
}

/**
 * Wall clock that never steps back: wall time at start plus monotonic time.
 * A step of the wall clock must not revive an expired key.
 */
export function createKeyClock(
  wallAtStart: number,
  now: () => number,
): () => number {
  const startedAt = now();
  return () => wallAtStart + (now() - startedAt);
}

/** Creates an empty table. */
export function createKeyTable(): KeyTable {
  return {
    records: new Map(),
    bytes: 0,
    clockMs: Number.NEGATIVE_INFINITY,
    sweptAt: Number.NEGATIVE_INFINITY,
  };
}

/**
 * Decides how to handle a keyed request. For `start` the record is created, and
 * the caller must call `finishKey` or, if the request did not run, `dropKey`.
 */
export function beginKey(
  table: KeyTable,
  key: BoundKey,
  self: {id: string; boot: string},
  wallMs: number,
  fingerprint = '',
): KeyDecision {
  const now = advanceClock(table, wallMs);
  // Another process may have run this key, so only its owner can report that
  // it was not run.
  if (key.owner !== self.id || key.boot !== self.boot) {
    return {kind: 'refused', outcome: 'keyOwnerGone'};
  }
  const existing = table.records.get(key.text);
  if (existing) return decideRepeat(existing, fingerprint);
  if (key.expiresAt <= now) return {kind: 'refused', outcome: 'keyExpired'};
  if (key.expiresAt > now + KEY_LIFETIME_MS + KEY_SKEW_MS) {
    return {kind: 'refused', outcome: 'badKey'};
  }
  if (!makeRoom(table, now)) return {kind: 'refused', outcome: 'keyTableFull'};
  const record = createRecord(key.expiresAt, fingerprint);
  table.records.set(key.text, record);
  return {kind: 'start', record};
}

/** Records the result of a run and resolves `done` for waiting repeats. */
export function finishKey(
  table: KeyTable,
  key: BoundKey,
  result: KeyResult,
): void {
  const record = table.records.get(key.text);
  if (!record || record.result) return;
  record.result = limitResult(table, result);
  table.bytes += measureResult(record.result);
  record.settle(record.result);
}

/** Removes the record of a request that did not run; it may be sent again. */
export function dropKey(table: KeyTable, key: BoundKey): void {
  const record = table.records.get(key.text);
  if (!record || record.result) return;
  table.records.delete(key.text);
  record.settle(undefined);
}

/** Checks whether a key has expired by the clock of the table. */
export function isKeyExpired(
  table: KeyTable,
  key: BoundKey,
  wallMs: number,
): boolean {
  return key.expiresAt <= advanceClock(table, wallMs);
}

/** Removes expired records of finished runs; returns how many. */
export function sweepKeys(table: KeyTable, wallMs: number): number {
  const now = advanceClock(table, wallMs);
  table.sweptAt = now;
  let removed = 0;
  for (const [text, record] of table.records) {
    if (record.expiresAt > now || !record.result) continue;
    table.records.delete(text);
    table.bytes -= measureResult(record.result);
    removed++;
  }
  return removed;
}

function advanceClock(table: KeyTable, wallMs: number): number {
  table.clockMs = Math.max(table.clockMs, wallMs);
  return table.clockMs;
}

function decideRepeat(record: KeyRecord, fingerprint: string): KeyDecision {
  // A different request that reuses the key must not get its answer.
  if (record.fingerprint !== fingerprint) {
    return {kind: 'refused', outcome: 'badKey'};
  }
  if (!record.result) return {kind: 'join', record};
  return {kind: 'recorded', result: record.result};
}

function makeRoom(table: KeyTable, now: number): boolean {
  if (table.records.size < MAX_KEYS) return true;
  // A sweep visits every record, so it is limited to one per second.
  if (now - table.sweptAt < SWEEP_EVERY_MS) return false;
  return sweepKeys(table, now) > 0;
}

function createRecord(expiresAt: number, fingerprint: string): KeyRecord {
  let settle: KeyRecord['settle'] = () => undefined;
  const done = new Promise<KeyResult | undefined>(resolve => {
    settle = resolve;
  });
  return {expiresAt, fingerprint, done, settle, waiters: 0};
}

function limitResult(table: KeyTable, result: KeyResult): KeyResult {
  if (result.kind !== 'answer') return result;
  const size = measureResult(result);
  if (size <= MAX_RECORDED_BYTES && table.bytes + size <= MAX_TABLE_BYTES) {
    return result;
  }
  return {kind: 'ran', status: result.answer.status};
}

function measureResult(result: KeyResult): number {
  if (result.kind !== 'answer') return 0;
  const {headers, body} = result.answer;
  return body.length + JSON.stringify(headers).length;
}
