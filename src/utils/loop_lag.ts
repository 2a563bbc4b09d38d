import {performance} from 'node:perf_hooks';

/** Maximum time between two reads of the lag, ms. */
export const LAG_WINDOW_MS = 100;

/** Idle time above which no input was waiting, ms. */
const IDLE_MS = 0.5;

/** Lag below which 0 is reported, because it is ordinary work, ms. */
const MIN_LAG_MS = 40;

/** Time that input may have waited unread because the process was busy. */
export interface LoopLag {
  /**
   * Upper bound for input handled now, ms; 0 if small. Call at least every
   * `LAG_WINDOW_MS`, because work done between two reads counts as lag.
   */
  read(): number;
}

/**
 * Creates the lag meter of a process from its monotonic time and the idle time
 * of its event loop, ms. While the loop is busy, input waits in the socket
 * buffer and its deadline keeps running.
 */
export function createLoopLag(
  readNow = () => performance.now(),
  readIdle = () => performance.eventLoopUtilization().idle,
): LoopLag {
  let lastAt = readNow();
  let lastIdle = readIdle();
  let busyMs = 0;
  return {
    read() {
      const now = readNow();
      const idle = readIdle();
      const idleMs = idle - lastIdle;
      const activeMs = Math.max(0, now - lastAt - idleMs);
      busyMs = idleMs > IDLE_MS ? activeMs : busyMs + activeMs;
      lastAt = now;
      lastIdle = idle;
      return busyMs < MIN_LAG_MS ? 0 : busyMs;
    },
  };
}
