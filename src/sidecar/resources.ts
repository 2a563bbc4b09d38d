import {readdirSync} from 'node:fs';
import {getHeapStatistics} from 'node:v8';
import type {SidecarBoard} from './board.js';

/** Directory with one entry for each open descriptor of the process. */
const DESCRIPTOR_DIR = '/proc/self/fd';

/** What customers hold at the entry. */
export interface EntryLoad {
  /** Open connections of customers. */
  readonly connections: number;
}

/** Memory of the process and what is known to hold it; bytes, but for
 * `connections`. */
export interface MemoryUse extends EntryLoad {
  /** Undefined while it can't be read. */
  readonly rssBytes?: number;
  /** Limit that the settings state. */
  readonly limitBytes: number;
  readonly heapBytes: number;
  /** Limit above which the runtime ends the process. */
  readonly heapLimitBytes: number;
  /** Memory outside the heap, including buffers; undefined with `rssBytes`. */
  readonly externalBytes?: number;
  /** Buffers, part of `externalBytes`. */
  readonly bufferBytes?: number;
  readonly answerBytes: number;
  /** Bytes of request bodies. */
  readonly bodyBytes: number;
}

/** Reads the memory in use. */
export function readMemoryUse(
  {settings, answers, bodies}: SidecarBoard,
  {connections}: EntryLoad,
): MemoryUse {
  const {rss, external, arrayBuffers} = tryRead(process.memoryUsage) ?? {};
  return {
    rssBytes: rss,
    limitBytes: settings.memoryMb * 1_048_576,
    ...readHeap(),
    externalBytes: external,
    bufferBytes: arrayBuffers,
    answerBytes: answers.usedBytes,
    bodyBytes: bodies.usedBytes,
    connections,
  };
}

/** Reads the heap in use and its limit, bytes. */
function readHeap(): {heapBytes: number; heapLimitBytes: number} {
  const heap = getHeapStatistics();
  return {
    heapBytes: heap.used_heap_size,
    heapLimitBytes: heap.heap_size_limit,
  };
}

/** Reading the resident memory opens a file, which throws while the process has no
 * descriptor left. */
function tryRead<T>(read: () => T): T | undefined {
  try {
    return read();
  } catch {
    return undefined;
  }
}

/** Counts the open descriptors; undefined where the system does not show them. */
export function countDescriptors(): number | undefined {
  try {
    // One of them is that of the directory itself.
    return readdirSync(DESCRIPTOR_DIR).length - 1;
  } catch {
    return undefined;
  }
}
