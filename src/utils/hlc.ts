import type {Hlc} from '../types/messages.js';

/** Advances a hybrid logical clock for a local event at `wallMs`. */
export function tickHlc(last: Hlc, wallMs: number): Hlc {
  const wall = Math.floor(wallMs);
  return wall > last[0] ? [wall, 0] : [last[0], last[1] + 1];
}

/** Advances a hybrid logical clock past a timestamp from a peer. */
export function mergeHlc(last: Hlc, remote: Hlc, wallMs: number): Hlc {
  const high = compareHlc(remote, last) > 0 ? remote : last;
  return tickHlc(high, wallMs);
}

/** Compares two timestamps; negative if `a` is earlier. */
export function compareHlc(a: Hlc, b: Hlc): number {
  return a[0] - b[0] || a[1] - b[1];
}

/** Formats a timestamp for headers. */
export function formatHlc(timestamp: Hlc): string {
  return `${timestamp[0]}.${timestamp[1]}`;
}

/** Parses a formatted timestamp; undefined if malformed. */
export function parseHlc(text: string | undefined): Hlc | undefined {
  const match = /^(\d{1,15})\.(\d{1,9})$/.exec(text ?? '');
  return match ? [Number(match[1]), Number(match[2])] : undefined;
}
