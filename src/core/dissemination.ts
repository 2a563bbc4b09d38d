import type {MemberRecord, MemberState} from '../types/messages.js';
import {count, type Board, type Effect} from './blackboard.js';
import {storeRecord, type Member} from './members.js';
import {recordEvent} from './timeline.js';

/** Maximum records per message; keeps frames far below the size limit. */
const RECORDS_PER_MESSAGE = 500;

/** Stores a changed record, records the event and queues it for peers. */
export function changeRecord(
  board: Board,
  record: MemberRecord,
  now: number,
  from?: string,
): Member {
  const previous = board.members.byId.get(record.id)?.record;
  const member = storeRecord(board.members, record, now);
  if (!isRefutable(record.state)) {
    member.lastSeenAt = now;
    member.dialFailures = 0;
    if (previous && isRefutable(previous.state)) member.nextDialAt = now;
  }
  const informedPeers = from === undefined ? [] : [from];
  board.members.pending.set(record.id, new Set(informedPeers));
  if (previous?.state !== record.state) {
    count(board, `member_${record.state}`);
    const detail = {member: record.id, state: record.state};
    recordEvent(board.timeline, 'memberChanged', detail, now);
  }
  return member;
}

/** Sets a higher local incarnation and queues the local record for peers. */
export function announceSelf(board: Board, incarnation: number): void {
  board.self = {...board.self, incarnation};
  board.timeline.incarnation = incarnation;
  board.members.markedLeaving = false;
  board.members.pending.set(board.self.id, new Set());
}

/** Sends queued changes to every linked peer that does not have them. */
export function flushPending(board: Board): Effect[] {
  const {pending, byId} = board.members;
  if (pending.size === 0 || board.links.size === 0) return [];
  const effects: Effect[] = [];
  for (const peer of board.links.keys()) {
    const records: MemberRecord[] = [];
    for (const [id, informedPeers] of pending) {
      if (informedPeers.has(peer)) continue;
      const record = id === board.self.id ? board.self : byId.get(id)?.record;
      if (record !== undefined) records.push(record);
    }
    if (records.length > 0) effects.push(...sendChunks(peer, records));
  }
  pending.clear();
  return effects;
}

/** Builds messages that carry the records in chunks. */
export function sendChunks(to: string, records: MemberRecord[]): Effect[] {
  const effects: Effect[] = [];
  for (let i = 0; i < records.length; i += RECORDS_PER_MESSAGE) {
    effects.push(sendRecords(to, records.slice(i, i + RECORDS_PER_MESSAGE)));
  }
  return effects;
}

/** Builds one message that carries the records. */
export function sendRecords(to: string, records: MemberRecord[]): Effect {
  return {kind: 'send', to, msg: {t: 'members', records}};
}

/** True for states that a running member refutes. */
export function isRefutable(state: MemberState): boolean {
  return state === 'suspect' || state === 'gone';
}

/** True for states in which a member may receive new requests. */
export function isUsable(state: MemberState): boolean {
  return state === 'live' || state === 'suspect';
}
