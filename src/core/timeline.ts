import type {EventDetail, EventKind, TimelineEvent} from '../types/events.js';
import type {Hlc} from '../types/messages.js';
import {compareHlc, mergeHlc, tickHlc} from '../utils/hlc.js';

/** Maximum number of events per daemon; older ones are dropped and counted. */
export const TIMELINE_CAPACITY = 2_000;

/** Maximum time by which a peer's timestamp may be in the future, ms. */
export const MAX_HLC_AHEAD_MS = 3_600_000;

/** Bounded event buffer and hybrid logical clock of one daemon. */
export interface Timeline {
  readonly id: string;
  incarnation: number;
  hlc: Hlc;
  events: TimelineEvent[];
  dropped: number;
  /** Logs each event; set by the daemon. */
  onEvent?: (event: TimelineEvent) => void;
}

/** Creates an empty time line for one daemon. */
export function createTimeline(id: string, incarnation: number): Timeline {
  return {id, incarnation, hlc: [0, 0], events: [], dropped: 0};
}

/** Records an event; `monoMs` is the monotonic time of the daemon, ms. */
export function recordEvent(
  timeline: Timeline,
  kind: EventKind,
  detail: EventDetail,
  monoMs: number,
  wallMs: number = Date.now(),
): void {
  timeline.hlc = tickHlc(timeline.hlc, wallMs);
  const {hlc, id, incarnation} = timeline;
  const event = {hlc, wallMs, monoMs, id, incarnation, kind, detail};
  timeline.events.push(event);
  if (timeline.events.length > TIMELINE_CAPACITY) {
    timeline.events.shift();
    timeline.dropped++;
  }
  timeline.onEvent?.(event);
}

/**
 * Merges a peer's timestamp, so that later local events are ordered after it.
 * Ignores timestamps far in the future, so that one wrong clock does not
 * advance all others.
 */
export function observeHlc(
  timeline: Timeline,
  remote: Hlc,
  wallMs: number = Date.now(),
): void {
  if (remote[0] > wallMs + MAX_HLC_AHEAD_MS) return;
  timeline.hlc = mergeHlc(timeline.hlc, remote, wallMs);
}

/** Merges the events of several daemons into one causal order. */
export function mergeTimelines(
  lists: readonly (readonly TimelineEvent[])[],
): TimelineEvent[] {
  return lists
    .flat()
    .sort(
      (a, b) =>
        compareHlc(a.hlc, b.hlc) || (a.id < b.id ? -1 : a.id > b.id ? 1 : 0),
    );
}
