import {
  MEMBER_BUCKETS,
  MEMBER_STATES,
  type MemberRecord,
  type MemberState,
} from '../types/messages.js';
import {hash32} from '../utils/hash.js';

/** A member as seen by the local daemon. */
export interface Member {
  record: MemberRecord;
  /** Monotonic time of the last direct or relayed evidence of life, ms. */
  lastSeenAt: number;
  /** Monotonic time of the last state change, ms. */
  changedAt: number;
  /** False if the last instance list read locally omits the member. */
  listed: boolean;
  /** State in the last list that contained the member. */
  listState?: 'live' | 'leaving';
  /** True after its link broke, until a dial shows whether it is alive. */
  needsProbe: boolean;
  /** Consecutive failed dials. */
  dialFailures: number;
  /** Earliest monotonic time of the next dial, ms. */
  nextDialAt: number;
}

/** State of the bucket exchange with one peer. */
export interface BucketExchange {
  requestedAt: number;
  /** Buckets that differed at the peer's latest heartbeat. */
  differing: number[];
}

/**
 * Mean interval of list reads by the first two ranks of a data centre, ms. At
 * the target size a list has about 125 KB, so a reader uses 2 KB/s. Readers in
 * all data centres together still detect and send a change within seconds.
 */
export const LIST_INTERVAL_MS = 60_000;

/** Multiple of `LIST_INTERVAL_MS` used by all other ranks. */
export const OTHER_RANKS_INTERVAL_FACTOR = 10;

/** Member table of one daemon, by id; excludes the daemon itself. */
export interface MemberTable {
  readonly byId: Map<string, Member>;
  /** XOR of the record hashes in each bucket, without the daemon itself. */
  readonly buckets: number[];
  /** Ids of changed records to send, with the peers that have them. */
  readonly pending: Map<string, Set<string>>;
  readonly exchanges: Map<string, BucketExchange>;
  /** Monotonic time of the last tick, ms. */
  lastTickAt?: number;
  /** Monotonic time at which the view became stale, ms. */
  staleSince?: number;
  /** Nonce that a heartbeat must echo to make a stale view fresh. */
  nonce?: number;
  /** True until a heartbeat with the nonce has been sent. */
  isNonceDue: boolean;
  /** Monotonic time at which a stale daemon lost its last link, ms. */
  isolatedSince?: number;
  /** True once the full table was requested from a peer. */
  requestedFullTable: boolean;
  /** True once a list was read. */
  listSeen: boolean;
  nextListAt: number;
  /** Mean interval of list reads by the first two ranks, ms. */
  listIntervalMs: number;
  /** True if the next read was scheduled early because no link was up. */
  isListReadEarly: boolean;
  /** True while peers consider this daemon leaving. */
  markedLeaving: boolean;
}

/** Creates an empty member table. */
export function createMemberTable(): MemberTable {
  return {
    byId: new Map(),
    buckets: new Array<number>(MEMBER_BUCKETS).fill(0),
    pending: new Map(),
    exchanges: new Map(),
    isNonceDue: false,
    requestedFullTable: false,
    listSeen: false,
    nextListAt: 0,
    listIntervalMs: LIST_INTERVAL_MS,
    isListReadEarly: false,
    markedLeaving: false,
  };
}

/** Returns the precedence of a state at equal incarnation. */
export function rankState(state: MemberState): number {
  return MEMBER_STATES.indexOf(state);
}

/**
 * Compares two records of one id; positive if `a` wins. The order is total, so
 * the merge result does not depend on the order of arrival.
 */
export function compareRecords(a: MemberRecord, b: MemberRecord): number {
  return (
    a.incarnation - b.incarnation ||
    rankState(a.state) - rankState(b.state) ||
    compareText(formatSortKey(a), formatSortKey(b))
  );
}

/** Returns the winner under `compareRecords`. */
export function mergeRecords(a: MemberRecord, b: MemberRecord): MemberRecord {
  return compareRecords(a, b) >= 0 ? a : b;
}

function formatSortKey(r: MemberRecord): string {
  const places = [r.dataCentre, r.region, r.service, r.host];
  return [r.boot, ...places, r.customerPort, r.peerPort].join(' ');
}

function compareText(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}

/** Returns the bucket of an id. */
export function getBucket(id: string): number {
  return hash32(id) % MEMBER_BUCKETS;
}

/**
 * Hashes the fields that peers must agree on. Gone members are excluded, since
 * peers remove them at different times, and so is suspicion, since every daemon
 * times it independently.
 */
export function hashRecord(record: MemberRecord): number {
  if (record.state === 'gone') return 0;
  const state = record.state === 'leaving' ? 'leaving' : 'live';
  const {id, incarnation, boot} = record;
  const hash = hash32(`${id} ${incarnation} ${boot} ${state}`);
  // 16 bits make each heartbeat a sixth smaller. A difference lost to a
  // collision is detected at the next change in its bucket.
  return (hash ^ (hash >>> 16)) & 0xffff;
}

/** Stores a record and updates the bucket hashes. */
export function storeRecord(
  table: MemberTable,
  record: MemberRecord,
  now: number,
): Member {
  const bucket = getBucket(record.id);
  let member = table.byId.get(record.id);
  if (member === undefined) {
    member = {
      record,
      lastSeenAt: now,
      changedAt: now,
      listed: true,
      needsProbe: false,
      dialFailures: 0,
      nextDialAt: 0,
    };
    table.byId.set(record.id, member);
  } else {
    if (member.record.state !== record.state) member.changedAt = now;
    toggleHash(table, bucket, member.record);
    member.record = record;
  }
  toggleHash(table, bucket, record);
  return member;
}

/** Removes a member and its pending update. */
export function removeMember(table: MemberTable, id: string): void {
  const member = table.byId.get(id);
  if (member === undefined) return;
  toggleHash(table, getBucket(id), member.record);
  table.byId.delete(id);
  table.pending.delete(id);
}

function toggleHash(
  table: MemberTable,
  bucket: number,
  record: MemberRecord,
): void {
  table.buckets[bucket] = (table.buckets[bucket] ^ hashRecord(record)) >>> 0;
}
