import type {
  MemberRecord,
  MessageName,
  MessageOf,
  PeerMessage,
} from '../types/messages.js';
import {tickHlc} from '../utils/hlc.js';
import {count, type Board, type Effect, type Link} from './blackboard.js';
import {updateInForce} from './config.js';
import {tickList} from './instances.js';
import {
  HEARTBEAT_INTERVAL_MS,
  computeBucketHashes,
  handleHeartbeatMembers,
  handleMembers,
  handleWantMembers,
  isLinkUp,
  recordLinkDown,
  recordLinkUp,
  tickMembership,
} from './membership.js';
import {isFull, endDial, sweepOverlay, tickOverlay} from './overlay.js';
import {computeSourceAge, tickReader} from './reader.js';
import {
  handleHeartbeatConfig,
  handleBusy,
  handleCheckpoint,
  handleEntries,
  handleWant,
  tickRelay,
} from './relay.js';
import {checkPause} from './staleness.js';
import {observeHlc, recordEvent} from './timeline.js';

/**
 * Heartbeats after which unchanged bucket hashes are repeated. The hashes make
 * up most of a heartbeat; repeating them lets a peer that lost them recover.
 */
const BUCKET_REPEAT_HEARTBEATS = 5;

type Handler<N extends MessageName> = (
  board: Board,
  from: string,
  msg: MessageOf<N>,
  now: number,
) => Effect[];

const HANDLERS: {readonly [N in MessageName]: Handler<N>} = {
  beat: handleHeartbeat,
  entries: handleEntries,
  want: handleWant,
  checkpoint: handleCheckpoint,
  busy: handleBusy,
  members: handleMembers,
  wantMembers: handleWantMembers,
  crash: (board, from, msg, now) =>
    board.onCrash?.(board, from, msg, now) ?? [],
};

/** Handles a message received on an established link. */
export function handleMessage(
  board: Board,
  from: string,
  msg: PeerMessage,
  now: number,
): Effect[] {
  const link = board.links.get(from);
  if (link === undefined) return [];
  checkPause(board, now);
  link.lastReceivedAt = now;
  count(board, `received_${msg.t}`);
  const handler = HANDLERS[msg.t] as Handler<MessageName>;
  return handler(board, from, msg, now);
}

function handleHeartbeat(
  board: Board,
  from: string,
  msg: MessageOf<'beat'>,
  now: number,
): Effect[] {
  const link = board.links.get(from);
  if (link) {
    const buckets = msg.buckets.length > 0 ? msg.buckets : link.beat?.buckets;
    link.beat = {...msg, buckets: buckets ?? []};
  }
  observeHlc(board.timeline, msg.hlc);
  const effects: Effect[] = [];
  if (msg.ask !== undefined) {
    const echo = {...createHeartbeat(board, now), echo: msg.ask};
    effects.push({kind: 'send', to: from, msg: echo});
  }
  const beat = link?.beat ?? msg;
  effects.push(...handleHeartbeatMembers(board, from, beat, now));
  effects.push(...handleHeartbeatConfig(board, from, beat, now));
  return effects;
}

/** Runs every controller once; called every `TICK_MS`. */
export function handleTick(board: Board, now: number): Effect[] {
  const effects = tickMembership(board, now);
  effects.push(...tickList(board, now));
  effects.push(...closeSilentLinks(board, now));
  effects.push(...tickOverlay(board, now));
  sweepOverlay(board.overlay, now);
  effects.push(...tickReader(board, now));
  effects.push(...tickRelay(board, now));
  updateInForce(board, now);
  effects.push(...tickHeartbeats(board, now));
  return effects;
}

function closeSilentLinks(board: Board, now: number): Effect[] {
  const effects: Effect[] = [];
  for (const {peer} of board.links.values()) {
    if (isLinkUp(board, peer, now)) continue;
    effects.push({kind: 'close', to: peer, reason: 'silent'});
  }
  return effects;
}

function tickHeartbeats(board: Board, now: number): Effect[] {
  const {members, links} = board;
  if (now < board.nextHeartbeatAt && !members.isNonceDue) return [];
  if (now >= board.nextHeartbeatAt) {
    // Ticks quantise the interval; a fixed step keeps its mean exact.
    const next = board.nextHeartbeatAt + HEARTBEAT_INTERVAL_MS;
    board.nextHeartbeatAt = next > now ? next : now + HEARTBEAT_INTERVAL_MS;
  }
  const beat = createHeartbeat(board, now);
  members.isNonceDue = false;
  const effects: Effect[] = [];
  for (const link of links.values()) {
    const msg = {...beat, buckets: selectBuckets(link, beat.buckets)};
    effects.push({kind: 'send', to: link.peer, msg});
  }
  return effects;
}

/** Returns the bucket hashes to send; empty if sent unchanged recently. */
function selectBuckets(link: Link, buckets: number[]): number[] {
  const hashes = buckets.join();
  const sent = link.sentBuckets;
  if (sent?.hashes === hashes && sent.beats < BUCKET_REPEAT_HEARTBEATS) {
    sent.beats++;
    return [];
  }
  link.sentBuckets = {hashes, beats: 1};
  return buckets;
}

/** Builds a heartbeat from the current state. */
export function createHeartbeat(board: Board, now: number): MessageOf<'beat'> {
  const {config, timeline, members} = board;
  timeline.hlc = tickHlc(timeline.hlc, Date.now());
  return {
    t: 'beat',
    hlc: timeline.hlc,
    index: config.index,
    version: config.current?.version ?? 0,
    digest: config.current?.digest ?? '',
    sourceAgeMs: Math.round(computeSourceAge(board, now)),
    buckets: computeBucketHashes(board),
    confirmed: config.confirmed,
    ...(members.nonce !== undefined && {ask: members.nonce}),
  };
}

/** Records an established link, or closes it if the link limit is reached. */
export function handleLinkUp(
  board: Board,
  record: MemberRecord,
  dialled: boolean,
  now: number,
): Effect[] {
  const peer = record.id;
  const isKnown = board.links.has(peer);
  if (!dialled && !isKnown && isFull(board)) {
    count(board, 'links_refused_full');
    return [{kind: 'close', to: peer, reason: 'full'}];
  }
  checkPause(board, now);
  board.overlay.dials.delete(peer);
  const link: Link = {peer, dialled, upAt: now, lastReceivedAt: now};
  board.links.set(peer, link);
  recordEvent(board.timeline, 'linkUp', {peer, dialled}, now);
  const effects = recordLinkUp(board, record, now);
  // Without it, the peer would wait up to one interval for the first heartbeat.
  effects.push({kind: 'send', to: peer, msg: createHeartbeat(board, now)});
  return effects;
}

/** Close reasons that are accepted from a peer; see `recordLinkDown`. */
const ACCEPTED_REMOTE_REASONS = new Set([
  'full',
  'surplus',
  'duplicate',
  'leaving',
]);

/** Returns the local reason for a link that the peer closed. */
export function readRemoteReason(reason: string): string {
  return ACCEPTED_REMOTE_REASONS.has(reason) ? reason : 'closed';
}

/** Handles a closed link or a failed dial (reason `dial-failed`). */
export function handleLinkDown(
  board: Board,
  peer: string,
  reason: string,
  now: number,
): Effect[] {
  const link = board.links.get(peer);
  // A link that was refused locally has no state to clean up.
  if (link === undefined && !board.overlay.dials.has(peer)) return [];
  checkPause(board, now);
  board.links.delete(peer);
  board.relay.transfers.delete(peer);
  count(board, `link_down_${reason}`);
  board.overlay.nextScanAt = 0;
  if (link) recordEvent(board.timeline, 'linkDown', {peer, reason}, now);
  if (link === undefined || link.dialled) endDial(board, peer, reason, now);
  return recordLinkDown(board, peer, now, reason);
}
