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
  computeBuckets,
  handleHeartbeatMembers,
  handleMembers,
  handleWantMembers,
  isLinkAlive,
  recordLinkDown,
  recordLinkUp,
  tickMembership,
} from './membership.js';
import {isFull, recordDialEnd, sweepOverlay, tickOverlay} from './overlay.js';
import {computeSourceAge, tickReader} from './reader.js';
import {
  handleBeatConfig,
  handleBusy,
  handleCheckpoint,
  handleEntries,
  handleWant,
  tickRelay,
} from './relay.js';
import {checkPause} from './staleness.js';
import {observeHlc, recordEvent} from './timeline.js';

/**
 * Beats after which unchanged bucket hashes are sent again. They are most of a
 * beat; the repetition bounds the harm of a peer that lost them.
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

/** Handles a message of an established link. */
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
  effects.push(...handleBeatConfig(board, from, beat, now));
  return effects;
}

/** Runs every controller once; called each `TICK_MS`. */
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
    if (isLinkAlive(board, peer, now)) continue;
    effects.push({kind: 'close', to: peer, reason: 'silent'});
  }
  return effects;
}

function tickHeartbeats(board: Board, now: number): Effect[] {
  const {members, links} = board;
  if (now < board.nextHeartbeatAt && !members.isNonceDue) return [];
  if (now >= board.nextHeartbeatAt) {
    // Ticks quantise the interval; a fixed step keeps the mean at BEAT_MS.
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

/** Bucket hashes to send: none when the peer has had them lately. */
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

/** Builds the heartbeat of this moment. */
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
    buckets: computeBuckets(board),
    confirmed: config.confirmed,
    ...(members.pendingNonce !== undefined && {ask: members.pendingNonce}),
  };
}

/** Notes an established link, or closes it when there are too many. */
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
  // Without this first beat a new link would learn nothing for up to BEAT_MS.
  effects.push({kind: 'send', to: peer, msg: createHeartbeat(board, now)});
  return effects;
}

/** Close reasons of the other side that are taken over; see `noteLinkDown`. */
const ACCEPTED_REMOTE_REASONS = new Set([
  'full',
  'surplus',
  'duplicate',
  'leaving',
]);

/** Reason to report for a link that the other side closed. */
export function readRemoteReason(reason: string): string {
  return ACCEPTED_REMOTE_REASONS.has(reason) ? reason : 'closed';
}

/** Notes a closed link or a failed dial (`reason` is then `dial-failed`). */
export function handleLinkDown(
  board: Board,
  peer: string,
  reason: string,
  now: number,
): Effect[] {
  const link = board.links.get(peer);
  // The end of a link that was refused here concerns nobody.
  if (link === undefined && !board.overlay.dials.has(peer)) return [];
  checkPause(board, now);
  board.links.delete(peer);
  board.relay.transfers.delete(peer);
  count(board, `link_down_${reason}`);
  board.overlay.nextScanAt = 0;
  if (link) recordEvent(board.timeline, 'linkDown', {peer, reason}, now);
  if (link === undefined || link.dialled)
    recordDialEnd(board, peer, reason, now);
  return recordLinkDown(board, peer, now, reason);
}
