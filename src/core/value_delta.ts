/** Byte after which a value is split: JSON documents change by whole objects. */
const CHUNK_END = 0x7d;

/** Part of a value: a byte range of the base value, or bytes of its own. */
export type DeltaPart = [start: number, end: number] | Uint8Array;

interface Chunk {
  readonly text: string;
  readonly start: number;
  readonly end: number;
}

function splitValue(value: Buffer): Chunk[] {
  const chunks: Chunk[] = [];
  let start = 0;
  while (start < value.length) {
    const at = value.indexOf(CHUNK_END, start);
    const end = at < 0 ? value.length : at + 1;
    chunks.push({text: value.toString('latin1', start, end), start, end});
    start = end;
  }
  return chunks;
}

/** Describes a value as parts of a base value and new bytes. */
export function createDelta(base: Buffer, value: Buffer): DeltaPart[] {
  const baseChunks = splitValue(base);
  const indexByText = new Map(baseChunks.map(({text}, i) => [text, i]));
  const parts: DeltaPart[] = [];
  let range: [number, number] | undefined;
  let literalStart = -1;
  let nextIndex = 0;
  const endLiteral = (end: number) => {
    if (literalStart >= 0) parts.push(value.subarray(literalStart, end));
    literalStart = -1;
  };
  for (const {text, start} of splitValue(value)) {
    const follows = range && baseChunks[nextIndex]?.text === text;
    const index = follows ? nextIndex : indexByText.get(text);
    if (index === undefined) {
      if (literalStart < 0) literalStart = start;
      range = undefined;
      continue;
    }
    endLiteral(start);
    const chunk = baseChunks[index];
    if (range && follows) range[1] = chunk.end;
    else parts.push((range = [chunk.start, chunk.end]));
    nextIndex = index + 1;
  }
  endLiteral(value.length);
  return parts;
}

/** Restores the value that `createDelta` described; ranges beyond the base are
 * cut. */
export function applyDelta(base: Buffer, parts: readonly DeltaPart[]): Buffer {
  return Buffer.concat(
    parts.map(part =>
      part instanceof Uint8Array ? part : base.subarray(part[0], part[1]),
    ),
  );
}
