import {Packr} from 'msgpackr';

/** Deepest nesting of a value in a frame. */
export const MAX_DEPTH = 64;

// Each message carries its own record definitions: lists of records name their
// fields once, and a lost frame cannot leave the two ends out of step.
const packr = new Packr({useRecords: true});

/** Encodes one message as a frame. */
export function encodeFrame(msg: unknown): Buffer {
  return packr.pack(msg);
}

/** Decodes a frame; undefined unless it holds exactly one plain JSON value. */
export function decodeFrame(frame: Uint8Array): unknown {
  try {
    const value: unknown = packr.unpack(frame);
    return isPlain(value, 0) ? value : undefined;
  } catch {
    // The decoder throws on malformed and truncated input.
    return undefined;
  }
}

/** Rejects dates, maps, big integers and others that JSON does not have. */
function isPlain(value: unknown, depth: number): boolean {
  if (value === null) return true;
  if (typeof value === 'number') return Number.isFinite(value);
  if (typeof value === 'string' || typeof value === 'boolean') return true;
  if (typeof value !== 'object' || depth >= MAX_DEPTH) return false;
  if (Array.isArray(value)) return value.every(v => isPlain(v, depth + 1));
  const proto: unknown = Object.getPrototypeOf(value);
  if (proto !== Object.prototype && proto !== null) return false;
  return Object.values(value).every(v => isPlain(v, depth + 1));
}
