import {
  MEMBER_BUCKETS,
  MEMBER_STATES,
  type MemberRecord,
  type MemberState,
} from '../types/messages.js';
import {hash32} from '../utils/hash.js';

/** A member as known here. */
export interface Member {
  record: MemberRecord;
  /** Monotonic time of the last sign of life, direct or relayed, ms. */
  lastSeenAt: number;
  /** Monotonic time at which the record took its present state, ms. */
  changedAt: number;
  /** False once a list that was read here does not name it. */
  listed: boolean;
  /** State in the newest list that named it. */
  listState?: 'live' | 'leaving';
  /** True after a link to it broke, until a dial shows whether it lives. */
  needsProbe: boolean;
  /** Dials that failed in a row. */
  dialFailures: number;
  /** Earliest monotonic time of the next dial, ms. */
  nextDialAt: number;
}

/** Exchange of buckets with one peer. */
export interface BucketExchange {
  requestedAt: number;
  /** Buckets that differed at the peer's newest beat. */
  differing: number[];
}

/**
 * Mean interval of list reads by the first two ranks of a data centre, ms. At
 * target a list has about 125 KB, which is 2 KB/s; the readers of all data
 * centres together still see a change within a few seconds and pass it on.
 */
export const LIST_INTERVAL_MS = 60_000;

/** Factor on that interval for all other ranks. */
export const OTHER_RANKS_INTERVAL_FACTOR = 10;

/** Member table of one daemon, by id; excludes the daemon itself. */
export interface MemberTable {
  readonly byId: Map<string, Member>;
  /** XOR of the record hashes in each bucket, without the daemon itself. */
  readonly buckets: number[];
  /** Ids of changed records to send, with the peers that know them. */
  readonly pending: Map<string, Set<string>>;
  readonly exchanges: Map<string, BucketExchange>;
  /** Monotonic time of the last tick, ms. */
  lastTickAt?: number;
  /** Monotonic time at which the view became stale, ms. */
  staleSince?: number;
  /** Nonce that a beat must echo to make a stale view fresh. */
  pendingNonce?: number;
  /** True until the beat that asks has been sent. */
  isNonceDue: boolean;
  /** Monotonic time since which a stale daemon has had no link, ms. */
  isolatedSince?: number;
  /** True once a peer was asked for its whole table. */
  requestedFullTable: boolean;
  /** True once a list was read. */
  listSeen: boolean;
  nextListAt: number;
  /** Mean interval of list reads by the first two ranks, ms. */
  listIntervalMs: number;
  /** True when the next read was planned early for want of links. */
  isListReadEarly: boolean;
  /** True while others were told that this daemon is leaving. */
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

/** Precedence of a state at equal incarnation. */
export function rankState(state: MemberState): number {
  return MEMBER_STATES.indexOf(state);
}

/**
 * Orders two records of one id; positive when `a` wins. The order is total, so
 * merging gives the same record whatever the order of arrival.
 */
export function compareRecords(a: MemberRecord, b: MemberRecord): number {
  return (
    a.incarnation - b.incarnation ||
    rankState(a.state) - rankState(b.state) ||
    compareText(describe(a), describe(b))
  );
}

/** Returns the record that wins. */
export function mergeRecords(a: MemberRecord, b: MemberRecord): MemberRecord {
  return compareRecords(a, b) >= 0 ? a : b;
}

function describe(r: MemberRecord): string {
  const places = [r.dataCentre, r.region, r.service, r.host];
  return [r.boot, ...places, r.customerPort, r.peerPort].join(' ');
}

function compareText(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}

/** Bucket that an id belongs to. */
export function bucketOf(id: string): number {
  return hash32(id) % MEMBER_BUCKETS;
}

/**
 * Hash of what peers must agree on. Gone members are left out, because peers
 * forget them at different times; suspicion is left out, because every
 * daemon times it alone.
 */
export function hashRecord(record: MemberRecord): number {
  if (record.state === 'gone') return 0;
  const state = record.state === 'leaving' ? 'leaving' : 'live';
  const {id, incarnation, boot} = record;
  const hash = hash32(`${id} ${incarnation} ${boot} ${state}`);
  // 16 bits save a sixth of each heartbeat. A difference that they hide shows
  // again with the next change in its bucket.
  return (hash ^ (hash >>> 16)) & 0xffff;
}

/** Stores a record and keeps the bucket hashes up to date. */
export function storeRecord(
  table: MemberTable,
  record: MemberRecord,
  now: number,
): Member {
  const bucket = bucketOf(record.id);
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

/** Removes a member. */
export function removeMember(table: MemberTable, id: string): void {
  const member = table.byId.get(id);
  if (member === undefined) return;
  toggleHash(table, bucketOf(id), member.record);
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
