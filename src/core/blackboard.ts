import type {MemberRecord, MessageOf, PeerMessage} from '../types/messages.js';
import type {Random} from '../utils/random.js';
import {createConfigState, type ConfigState} from './config.js';
import {createMemberTable, type MemberTable} from './members.js';
import {createOverlayState, type OverlayState} from './overlay_state.js';
import {createReaderState, type ReaderState} from './reader.js';
import {createRelayState, type RelayState} from './relay.js';
import {createRoutingState, type RoutingState} from './routing.js';
import {createSuspects, type Suspects} from './suspects.js';
import {createTimeline, type Timeline} from './timeline.js';

/** Interval of the control tick, ms. */
export const TICK_MS = 250;

/** Side effect requested by a controller and executed by the daemon. */
export type Effect =
  | {kind: 'send'; to: string; msg: PeerMessage}
  | {kind: 'dial'; to: MemberRecord}
  | {kind: 'close'; to: string; reason: string}
  | {kind: 'readSource'; after: number; waitMs: number}
  | {kind: 'readList'};

/** An established link to a peer. */
export interface Link {
  readonly peer: string;
  /** True when this daemon dialled. */
  readonly dialled: boolean;
  /** Monotonic time at which the link came up, ms. */
  readonly upAt: number;
  /** Monotonic time of the last received message, ms. */
  lastReceivedAt: number;
  /** Bucket hashes last sent, as text, and the heartbeats since then. */
  sentBuckets?: {readonly hashes: string; beats: number};
  /** Latest heartbeat of the peer, with its last known bucket hashes. */
  beat?: Extract<PeerMessage, {t: 'beat'}>;
}

/** All control state of one daemon; controllers read and write it. */
export interface Board {
  /** Local member record; its incarnation and state change over time. */
  self: MemberRecord;
  readonly config: ConfigState;
  readonly reader: ReaderState;
  readonly relay: RelayState;
  readonly members: MemberTable;
  readonly routing: RoutingState;
  readonly suspects: Suspects;
  readonly overlay: OverlayState;
  /** Monotonic time of the next heartbeat, ms. */
  nextHeartbeatAt: number;
  /** Handles reports of crashed upstreams; set by the daemon. */
  onCrash?: (
    board: Board,
    from: string,
    msg: MessageOf<'crash'>,
    now: number,
  ) => Effect[];
  readonly links: Map<string, Link>;
  readonly timeline: Timeline;
  /** Counters by metric name, used instead of log lines where possible. */
  readonly counters: Map<string, number>;
  readonly random: Random;
  /** Monotonic start time, ms. */
  readonly startedAt: number;
  /** True while the membership view is too old to act on. */
  viewStale: boolean;
}

/** Creates the state of a daemon that has just started. */
export function createBoard(
  self: MemberRecord,
  random: Random,
  now: number,
): Board {
  return {
    self,
    config: createConfigState(),
    reader: createReaderState(),
    relay: createRelayState(),
    members: createMemberTable(),
    routing: createRoutingState(),
    suspects: createSuspects(),
    overlay: createOverlayState(),
    nextHeartbeatAt: now,
    links: new Map(),
    timeline: createTimeline(self.id, self.incarnation),
    counters: new Map(),
    random,
    startedAt: now,
    viewStale: false,
  };
}

/** Counters of one daemon by metric name. */
export type Counters = Pick<Board, 'counters'>;

/** Adds to a counter. */
export function count(board: Counters, name: string, by = 1): void {
  board.counters.set(name, (board.counters.get(name) ?? 0) + by);
}
