import type {MemberRecord} from '../types/messages.js';
import {rankByRendezvous} from '../utils/hash.js';
import type {Board, Effect} from './blackboard.js';
import {announceSelf, changeRecord, isUsable} from './dissemination.js';
import {
  OTHER_RANKS_INTERVAL_FACTOR,
  storeRecord,
  type Member,
} from './members.js';
import {listMembers} from './membership.js';

/** Mean delay before retrying a read without a reply, ms. */
const LIST_RETRY_MS = 2_000;

/** Mean read interval while no link is up, ms. */
const LIST_NO_LINK_MS = 3_000;

/** Reads the instance list when a read is due. */
export function tickList(board: Board, now: number): Effect[] {
  const table = board.members;
  if (now < table.nextListAt) return [];
  if (table.listSeen && table.isListReadEarly && board.links.size > 0) {
    // The early read was scheduled without links; a link is up now.
    scheduleNextList(board, now);
    return [];
  }
  // The reply reschedules the next read.
  table.nextListAt = now + LIST_RETRY_MS * (0.5 + board.random());
  return [{kind: 'readList'}];
}

/** Merges the instance list. It never marks a member as gone. */
export function handleList(
  board: Board,
  records: MemberRecord[],
  now: number,
): Effect[] {
  const table = board.members;
  const named = new Set(records.map(record => record.id));
  const isFirst = !table.listSeen;
  table.listSeen = true;
  for (const record of records) {
    if (record.id === board.self.id) applyOwnListing(board, record);
    else applyListed(board, record, isFirst, now);
  }
  for (const member of table.byId.values()) {
    if (named.has(member.record.id)) continue;
    member.listed = false;
    member.listState = undefined;
    const {incarnation, state} = member.record;
    // No daemon ever had contact with this member, so none will time it out.
    if (incarnation === 0 && state === 'live') {
      changeRecord(board, {...member.record, state: 'suspect'}, now);
    }
  }
  // The rank depends on the merged list.
  scheduleNextList(board, now);
  return [];
}

function applyOwnListing(board: Board, record: MemberRecord): void {
  const {self, members} = board;
  if (!members.markedLeaving || record.state !== 'live') return;
  announceSelf(board, self.incarnation + 1);
}

function applyListed(
  board: Board,
  listed: MemberRecord,
  isFirst: boolean,
  now: number,
): void {
  const state = listed.state === 'leaving' ? 'leaving' : 'live';
  let member = board.members.byId.get(listed.id);
  if (member === undefined) {
    const record = {...listed, incarnation: 0, boot: '', state} as MemberRecord;
    // Peers read the list rarely, so new members are sent to them. The first
    // list after a start has nothing that is new to them.
    member = isFirst
      ? storeRecord(board.members, record, now)
      : changeRecord(board, record, now);
  }
  const previousState = member.listState;
  member.listed = true;
  member.listState = state;
  const {record} = member;
  if (!hasSameAddress(record, listed)) {
    updateAddress(board, member, listed, now);
    return;
  }
  // Only a transition to leaving applies. A member that refuted it, because
  // the list described its previous process, is not marked again.
  if (
    state === 'leaving' &&
    previousState !== 'leaving' &&
    isUsable(record.state)
  ) {
    changeRecord(board, {...record, state}, now);
  }
}

function hasSameAddress(a: MemberRecord, b: MemberRecord): boolean {
  return a.host === b.host && a.peerPort === b.peerPort;
}

/** Updates the address of a member that is unreachable at the old one. */
function updateAddress(
  board: Board,
  member: Member,
  listed: MemberRecord,
  now: number,
): void {
  const {record} = member;
  if (record.incarnation > 0 && record.state !== 'gone') return;
  const {host, customerPort, peerPort} = listed;
  storeRecord(
    board.members,
    {...record, host, customerPort, peerPort},
    now,
  ).nextDialAt = now;
}

function scheduleNextList(board: Board, now: number): void {
  const {members, links, random} = board;
  // Right after a start, a lagging list may omit the peers of this daemon.
  members.isListReadEarly = links.size === 0;
  const interval = members.isListReadEarly
    ? LIST_NO_LINK_MS
    : chooseInterval(board);
  members.nextListAt = now + interval * (0.75 + random() / 2);
}

function chooseInterval(board: Board): number {
  const {dataCentre, id} = board.self;
  const ids = listMembers(board, {dataCentre}).map(record => record.id);
  const rank = rankByRendezvous(`reader/${dataCentre}`, ids).indexOf(id);
  const {listIntervalMs} = board.members;
  return rank < 2
    ? listIntervalMs
    : listIntervalMs * OTHER_RANKS_INTERVAL_FACTOR;
}
