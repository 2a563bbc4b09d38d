import type {IncomingMessage} from 'node:http';
import {ChunkList} from './chunk_list.js';

/** Memory for the request bodies of customers and of other daemons. */
export interface BodyBudget {
  readonly limitBytes: number;
  /** Bytes of all bodies. */
  usedBytes: number;
}

/** Creates an empty budget. */
export function createBodyBudget(limitBytes: number): BodyBudget {
  return {limitBytes, usedBytes: 0};
}

/** What one body counts for. */
export interface BodyHold {
  /** Counts received bytes; false when they exceed the budget. */
  add(bytes: number): boolean;
  /** Releases the bytes; none are counted afterwards. */
  release(): void;
  /** True once the bytes were released. */
  isReleased(): boolean;
  /** Sets what drops the bytes themselves at the release. */
  setDrop(drop: () => void): void;
}

/** Creates the entry of a body of which nothing was received. */
export function createBodyHold(budget: BodyBudget): BodyHold {
  let size = 0;
  let released = false;
  let dropBytes = () => {};
  return {
    add(bytes) {
      if (released) return true;
      size += bytes;
      budget.usedBytes += bytes;
      return budget.usedBytes <= budget.limitBytes;
    },
    release() {
      released = true;
      budget.usedBytes -= size;
      size = 0;
      dropBytes();
    },
    isReleased: () => released,
    setDrop(drop) {
      dropBytes = drop;
    },
  };
}

/**
 * Reads a body, whose bytes count as they arrive: several may be read at the same
 * time. Returns why it is not taken, or undefined if it was released meanwhile;
 * rejects when the connection breaks. What was not read is left to the caller.
 */
export async function readCountedBody(
  budget: BodyBudget,
  hold: BodyHold,
  req: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | 'tooLarge' | 'full' | undefined> {
  const declared = Number(req.headers['content-length'] ?? 0);
  if (declared > maxBytes) return 'tooLarge';
  if (budget.usedBytes + declared > budget.limitBytes) return 'full';
  const chunks = new ChunkList();
  // The next piece may come late or never.
  hold.setDrop(() => chunks.clear());
  const input = req.iterator({destroyOnReturn: false});
  for await (const chunk of input as AsyncIterable<Buffer>) {
    if (hold.isReleased()) return undefined;
    const fits = hold.add(chunk.length);
    if (chunks.size + chunk.length > maxBytes) return 'tooLarge';
    if (!fits) return 'full';
    chunks.push(chunk);
  }
  return hold.isReleased() ? undefined : chunks.take();
}
