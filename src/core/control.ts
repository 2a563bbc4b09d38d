import type {Entry} from '../types/document.js';
import type {MemberRecord} from '../types/messages.js';
import {recordEvent} from './timeline.js';
import {count, type Board, type Effect} from './blackboard.js';
import {applyEntries} from './config.js';

const POLL_WAIT_MS = 2_000;
const LIST_EVERY_MS = 2_000;
let nextListAt = 0;

/** Runs the periodic work of the control plane. */
export function handleTick(board: Board, now: number): Effect[] {
  const effects: Effect[] = [];
  if (now >= nextListAt) {
    nextListAt = now + LIST_EVERY_MS;
    effects.push({kind: 'readList'});
  }
  if (!board.reader.pending && now >= board.reader.nextReadAt) {
    board.reader.pending = true;
    const after = board.config.index;
    effects.push({kind: 'readSource', after, waitMs: POLL_WAIT_MS});
  }
  return effects;
}

/** Folds a reply of the configuration service. */
export function handleSourceReply(
  board: Board,
  reply: {index: number; entries: Entry[]},
  now: number,
): Effect[] {
  board.reader.pending = false;
  board.reader.succeededAt = now;
  const result = applyEntries(board.config, reply.entries);
  for (const version of result.accepted) {
    board.config.inForce = version;
    const detail = {version: version.version, digest: version.digest};
    recordEvent(board.timeline, 'versionInForce', detail, now);
  }
  return [];
}

/** Notes a failed read of the configuration service. */
export function handleSourceError(board: Board, now: number): Effect[] {
  board.reader.pending = false;
  board.reader.nextReadAt = now + 1_000;
  count(board, 'sourceFailures');
  return [];
}

/** Takes over the instance list. */
export function handleList(
  board: Board,
  records: MemberRecord[],
  now: number,
): Effect[] {
  for (const record of records) {
    if (record.id === board.self.id) continue;
    board.members.byId.set(record.id, {record, heardAt: now, listed: true});
  }
  return [];
}
