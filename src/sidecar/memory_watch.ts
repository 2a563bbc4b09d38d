import type {DecisionLog} from './decision_log.js';
import type {MemoryUse} from './resources.js';

/** Interval between checks of the resident memory, ms. */
export const MEMORY_CHECK_MS = 1_000;

/** Share of a limit above which memory is logged as high. */
export const HIGH_SHARE = 0.8;

/** Share of both limits below which high memory is normal again; lower than
 * `HIGH_SHARE`, so that memory near it does not write a line each second. */
export const NORMAL_SHARE = 0.7;

/** Dependencies of a check of the memory. */
export interface MemoryWatchDeps {
  readonly log: DecisionLog;
  /** Reads the memory and its limits. */
  readonly readUse: () => MemoryUse;
}

/** Returns a check that logs when the memory becomes high, and normal again. */
export function createMemoryWatch({log, readUse}: MemoryWatchDeps): () => void {
  let high = false;
  return () => {
    const use = readUse();
    const share = Math.max(
      (use.rssBytes ?? 0) / use.limitBytes,
      use.heapBytes / use.heapLimitBytes,
    );
    if (high ? share >= NORMAL_SHARE : share <= HIGH_SHARE) return;
    high = !high;
    log.write('always', high ? 'memoryHigh' : 'memoryNormal', {...use});
  };
}
