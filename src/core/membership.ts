import type {MemberRecord, MemberState, MessageOf} from '../types/messages.js';
import {count, type Board, type Effect} from './blackboard.js';
import {
  announceSelf,
  changeRecord,
  flushPending,
  isRefutable,
  isUsable,
  sendChunks,
  sendRecords,
} from './dissemination.js';
import {
  compareRecords,
  getBucket,
  hashRecord,
  removeMember,
  rankState,
  type Member,
} from './members.js';
import {endStale, tickStaleness} from './staleness.js';
import {recordEvent} from './timeline.js';

/** Interval of heartbeats, ms. */
export const HEARTBEAT_INTERVAL_MS = 2_000;

/** Time without messages until a link is closed: three heartbeats, ms. */
export const SILENCE_TIMEOUT_MS = 3 * HEARTBEAT_INTERVAL_MS;

/** Time after which an unrefuted suspect member is marked gone, ms. */
export const SUSPECT_TIMEOUT_MS = 6_000;

/** Minimum time between two bucket exchanges on one link, ms. */
export const EXCHANGE_INTERVAL_MS = 5_000;

/** Time for which a gone, unlisted member stays in the table, ms. */
export const GONE_RETENTION_MS = 60_000;

/**
 * Uptime below which a daemon refutes a report that it is leaving, ms. A
 * lagging list may still describe the previous process of the same id.
 */
export const LIST_LAG_MS = 60_000;

/** Maximum jitter before probing a peer whose link broke, ms. */
const PROBE_SPREAD_MS = 500;

/** Close reasons that do not indicate a failure of the peer. */
const BENIGN_CLOSE_REASONS = new Set([
  'full',
  'surplus',
  'duplicate',
  'leaving',
]);

/** Filter for `listMembers`; an absent field matches all members. */
export interface MemberFilter {
  dataCentre?: string;
  service?: string;
  /** Defaults to live and suspect. */
  states?: readonly MemberState[];
}

const USABLE_STATES: readonly MemberState[] = ['live', 'suspect'];

/** Lists matching records, including the local daemon's own. */
export function listMembers(
  board: Board,
  filter: MemberFilter = {},
): MemberRecord[] {
  const states = filter.states ?? USABLE_STATES;
  const matches = (record: MemberRecord): boolean =>
    states.includes(record.state) &&
    (filter.service === undefined || record.service === filter.service) &&
    (filter.dataCentre === undefined ||
      record.dataCentre === filter.dataCentre);
  const found = matches(board.self) ? [board.self] : [];
  for (const {record} of board.members.byId.values()) {
    if (matches(record)) found.push(record);
  }
  return found;
}

/** True if a message arrived from the peer within the silence timeout. */
export function isLinkUp(board: Board, id: string, now: number): boolean {
  const link = board.links.get(id);
  return link !== undefined && now - link.lastReceivedAt < SILENCE_TIMEOUT_MS;
}

/** Computes the bucket hashes of the member table and the local record. */
export function computeBucketHashes(board: Board): number[] {
  const buckets = [...board.members.buckets];
  const own = getBucket(board.self.id);
  buckets[own] = (buckets[own] ^ hashRecord(board.self)) >>> 0;
  return buckets;
}

/** Merges records from a peer; forwards a leaving member immediately. */
export function handleMembers(
  board: Board,
  from: string,
  msg: MessageOf<'members'>,
  now: number,
): Effect[] {
  const effects: Effect[] = [];
  let urgent = false;
  for (const record of msg.records) {
    if (record.id === board.self.id) {
      checkOwnRecord(board, record, now);
      continue;
    }
    if (!mergeRemote(board, from, record, now, effects)) continue;
    urgent ||= record.state === 'leaving';
  }
  if (urgent) effects.push(...flushPending(board));
  return effects;
}

/** Merges one record; returns true if the table changed. */
function mergeRemote(
  board: Board,
  from: string,
  record: MemberRecord,
  now: number,
  effects: Effect[],
): boolean {
  const {byId, pending} = board.members;
  const known = byId.get(record.id);
  if (known === undefined) {
    // An unknown member that is already gone needs no entry.
    if (record.state === 'gone') return false;
    changeRecord(board, record, now, from);
    return true;
  }
  const order = compareRecords(record, known.record);
  if (order === 0) pending.get(record.id)?.add(from);
  if (order <= 0) return false;
  if (isRefutable(record.state) && isLinkUp(board, record.id, now)) {
    // The direct link outweighs the report; the member itself refutes it.
    effects.push(sendRecords(record.id, [record]));
    return false;
  }
  if (record.state === 'gone' && isUsable(known.record.state)) {
    // After a partition the other side reports live members as gone, so
    // they are marked suspect first, which leaves them time to refute it.
    if (known.record.state === 'suspect') return false;
    record = {...record, state: 'suspect'};
  }
  changeRecord(board, record, now, from);
  return true;
}

/** Refutes an incorrect record of the local daemon. */
function checkOwnRecord(board: Board, record: MemberRecord, now: number): void {
  const {self, members} = board;
  if (record.incarnation < self.incarnation) return;
  if (record.incarnation === self.incarnation && record.boot === self.boot) {
    if (rankState(record.state) <= rankState(self.state)) return;
    if (record.state === 'leaving' && now - board.startedAt >= LIST_LAG_MS) {
      members.markedLeaving = true;
      return;
    }
  }
  announceSelf(board, record.incarnation + 1);
  count(board, 'member_refutations');
}

/** Sends the records of the requested buckets. */
export function handleWantMembers(
  board: Board,
  from: string,
  msg: MessageOf<'wantMembers'>,
): Effect[] {
  const wanted = new Set(msg.buckets);
  const records = [board.self];
  for (const {record} of board.members.byId.values()) records.push(record);
  return sendChunks(
    from,
    records.filter(record => wanted.has(getBucket(record.id))),
  );
}

/** Compares bucket hashes and requests buckets that stay different. */
export function handleHeartbeatMembers(
  board: Board,
  from: string,
  msg: MessageOf<'beat'>,
  now: number,
): Effect[] {
  const table = board.members;
  const member = table.byId.get(from);
  if (member) member.lastSeenAt = now;
  if (msg.echo !== undefined && msg.echo === table.nonce) endStale(board, now);
  // The hashes of this peer are unknown until a later heartbeat sends them.
  if (msg.buckets.length === 0) return [];
  const own = computeBucketHashes(board);
  const differing = own.flatMap((hash, i) =>
    hash === msg.buckets[i] ? [] : i,
  );
  const exchange = table.exchanges.get(from);
  const previous = exchange?.differing ?? [];
  const requestedAt = exchange?.requestedAt ?? -Infinity;
  // Changes in flight make buckets differ briefly. To save bandwidth, a bucket
  // must differ in two heartbeats, except for a daemon that just started.
  const wanted = table.requestedFullTable
    ? differing.filter(i => previous.includes(i))
    : differing;
  const shouldRequest =
    wanted.length > 0 && now - requestedAt >= EXCHANGE_INTERVAL_MS;
  table.exchanges.set(from, {
    requestedAt: shouldRequest ? now : requestedAt,
    differing,
  });
  if (!shouldRequest) return [];
  table.requestedFullTable = true;
  count(board, 'member_exchanges');
  return [{kind: 'send', to: from, msg: {t: 'wantMembers', buckets: wanted}}];
}

/** Records a new link, which proves that the peer is alive. */
export function recordLinkUp(
  board: Board,
  record: MemberRecord,
  now: number,
): Effect[] {
  const table = board.members;
  table.exchanges.delete(record.id);
  const known = table.byId.get(record.id);
  const isOlder = known && compareRecords(record, known.record) < 0;
  if (isOlder) {
    markAlive(known, now);
    // The peer raises its incarnation on receiving the newer record.
    return [sendRecords(record.id, [known.record])];
  }
  const isSame = known && compareRecords(record, known.record) === 0;
  const member = isSame ? known : changeRecord(board, record, now, record.id);
  markAlive(member, now);
  return [];
}

function markAlive(member: Member, now: number): void {
  member.lastSeenAt = now;
  member.needsProbe = false;
  member.dialFailures = 0;
  member.nextDialAt = 0;
}

/** Records a lost link or, if there was no link, a failed dial. */
export function recordLinkDown(
  board: Board,
  peer: string,
  now: number,
  reason = '',
): Effect[] {
  board.members.exchanges.delete(peer);
  const member = board.members.byId.get(peer);
  if (member === undefined) return [];
  if (BENIGN_CLOSE_REASONS.has(reason)) {
    member.needsProbe = false;
    return [];
  }
  const {record} = member;
  if (record.state === 'leaving') {
    // A leaving daemon closes its links last.
    changeRecord(board, {...record, state: 'gone'}, now);
  } else if (reason === 'dial-failed' || reason === 'silent') {
    member.needsProbe = false;
    if (record.state === 'live') {
      changeRecord(board, {...record, state: 'suspect'}, now);
    }
  } else {
    member.needsProbe = true;
    // Jitter keeps the peers of a failed daemon from dialling it all at once.
    member.nextDialAt = now + board.random() * PROBE_SPREAD_MS;
  }
  return [];
}

/** Announces immediately on all links that this daemon is leaving. */
export function announceLeaving(board: Board, now: number): Effect[] {
  board.self = {...board.self, state: 'leaving'};
  announceSelf(board, board.self.incarnation + 1);
  const detail = {member: board.self.id, state: 'leaving'};
  recordEvent(board.timeline, 'memberChanged', detail, now);
  return flushPending(board);
}

/** Times out suspects, removes expired gone members and sends changes. */
export function tickMembership(board: Board, now: number): Effect[] {
  const table = board.members;
  tickStaleness(board, now);
  for (const member of [...table.byId.values()]) tickMember(board, member, now);
  return flushPending(board);
}

function tickMember(board: Board, member: Member, now: number): void {
  const {record, changedAt, listed} = member;
  const age = now - changedAt;
  if (record.state === 'suspect' && age >= SUSPECT_TIMEOUT_MS) {
    if (isLinkUp(board, record.id, now)) return;
    changeRecord(board, {...record, state: 'gone'}, now);
    member.nextDialAt = 0;
  } else if (record.state === 'gone' && !listed && age >= GONE_RETENTION_MS) {
    if (board.members.listSeen) removeMember(board.members, record.id);
  }
}
