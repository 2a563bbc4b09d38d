/** Number of small pieces that are merged at once. Each piece takes 100 to 200 bytes
 * of the heap, whatever its size. */
const MERGE_COUNT = 64;

/** Size from which bytes are not merged any more, bytes. */
const BLOCK_BYTES = 16_384;

/** Number of pieces that may make up a block without being merged: their size
 * outweighs what they take of the heap. */
const MAX_BLOCK_PIECES = 4;

/**
 * Received bytes, held in few buffers however small the received pieces were. A
 * byte is copied at most twice while it is held; large pieces are not copied.
 */
export class ChunkList {
  /** Blocks, in order, which are not merged any more. */
  #blocks: Buffer[] = [];
  /** Merged pieces after the blocks. */
  #merged: Buffer[] = [];
  /** Pieces after the merged ones, as they were received. */
  #pieces: Buffer[] = [];
  /** Bytes after the blocks. */
  #openBytes = 0;
  #size = 0;

  /** Number of bytes. */
  get size(): number {
    return this.#size;
  }

  /** Number of buffers. */
  get bufferCount(): number {
    return this.#blocks.length + this.#merged.length + this.#pieces.length;
  }

  /** Adds a piece at the end. */
  push(piece: Buffer): void {
    if (piece.length === 0) return;
    this.#size += piece.length;
    this.#openBytes += piece.length;
    this.#pieces.push(piece);
    if (this.#openBytes >= BLOCK_BYTES) this.#closeBlock();
    else if (this.#pieces.length >= MERGE_COUNT) {
      this.#merged.push(Buffer.concat(this.#pieces));
      this.#pieces = [];
    }
  }

  /** Removes and returns all bytes; a single buffer is not copied. */
  take(): Buffer {
    const all = [...this.#blocks, ...this.#merged, ...this.#pieces];
    const size = this.#size;
    this.clear();
    return all.length === 1 ? all[0] : Buffer.concat(all, size);
  }

  /** Removes all bytes. */
  clear(): void {
    this.#blocks = [];
    this.#merged = [];
    this.#pieces = [];
    this.#openBytes = 0;
    this.#size = 0;
  }

  #closeBlock(): void {
    const open = [...this.#merged, ...this.#pieces];
    if (open.length <= MAX_BLOCK_PIECES) this.#blocks.push(...open);
    else this.#blocks.push(Buffer.concat(open));
    this.#merged = [];
    this.#pieces = [];
    this.#openBytes = 0;
  }
}
