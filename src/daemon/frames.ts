import {Packr} from 'msgpackr';

/** Largest nesting depth of a value in a frame. */
export const MAX_NESTING_DEPTH = 64;

/**
 * Fields of the most frequent objects, in schema order. Frames encode them by
 * position, which halves the size of a heartbeat. Both ends must have the same
 * table, so changing it requires a new `proto` in the hello.
 */
const STRUCTURES: readonly (readonly string[])[] = [
  [
    't',
    'hlc',
    'index',
    'version',
    'digest',
    'sourceAgeMs',
    'buckets',
    'confirmed',
  ],
  ['t', 'records'],
  [
    'id',
    'incarnation',
    'boot',
    'dataCentre',
    'region',
    'service',
    'host',
    'customerPort',
    'peerPort',
    'state',
  ],
  ['t', 'after', 'entries'],
  ['index', 'prev', 'kind', 'value'],
  ['t', 'after', 'version', 'digest'],
];

/** Encodes messages as frames and decodes frames. */
export interface Codec {
  encodeFrame(msg: unknown): Buffer;
  decodeFrame(frame: Uint8Array): unknown;
}

/** Creates a codec; any codec can decode the frames of another. */
export function createCodec(): Codec {
  // Objects of other shapes include their field names. The table must not grow
  // with use, because the tables of the two ends would then differ.
  const packr = new Packr({
    useRecords: true,
    structures: STRUCTURES.map(fields => [...fields]),
    maxSharedStructures: STRUCTURES.length,
  });
  return {
    encodeFrame: msg => packr.pack(msg),
    decodeFrame(frame) {
      try {
        const value: unknown = packr.unpack(frame);
        return isJsonValue(value, 0) ? value : undefined;
      } catch {
        // The decoder throws on malformed and truncated input.
        return undefined;
      }
    },
  };
}

const codec = createCodec();

/** Encodes one message as a frame. */
export const encodeFrame = codec.encodeFrame;

/** Decodes a frame; undefined unless it holds exactly one plain JSON value. */
export const decodeFrame = codec.decodeFrame;

/** Rejects dates, maps, big integers and other values outside JSON. */
function isJsonValue(value: unknown, depth: number): boolean {
  if (value === null) return true;
  if (typeof value === 'number') return Number.isFinite(value);
  if (typeof value === 'string' || typeof value === 'boolean') return true;
  if (typeof value !== 'object' || depth >= MAX_NESTING_DEPTH) return false;
  if (Array.isArray(value)) return value.every(v => isJsonValue(v, depth + 1));
  const proto: unknown = Object.getPrototypeOf(value);
  if (proto !== Object.prototype && proto !== null) return false;
  return Object.values(value).every(v => isJsonValue(v, depth + 1));
}
