import {readdirSync} from 'node:fs';
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
  readonly rssBytes: number;
  /** Limit that the settings state. */
  readonly limitBytes: number;
  readonly heapBytes: number;
  /** Memory outside the heap, including buffers. */
  readonly externalBytes: number;
  /** Buffers, part of `externalBytes`. */
  readonly bufferBytes: number;
  readonly answerBytes: number;
  /** Bytes of request bodies. */
  readonly bodyBytes: number;
}

/** Reads the memory in use; too slow for each request. */
export function readMemoryUse(
  {settings, answers, bodies}: SidecarBoard,
  {connections}: EntryLoad,
): MemoryUse {
  const {rss, heapUsed, external, arrayBuffers} = process.memoryUsage();
  return {
    rssBytes: rss,
    limitBytes: settings.memoryMb * 1_048_576,
    heapBytes: heapUsed,
    externalBytes: external,
    bufferBytes: arrayBuffers,
    answerBytes: answers.usedBytes,
    bodyBytes: bodies.usedBytes,
    connections,
  };
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
