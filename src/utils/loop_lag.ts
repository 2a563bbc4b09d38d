import {performance} from 'node:perf_hooks';

/** Longest time between two reads of the lag, ms. */
export const LAG_WINDOW_MS = 100;

/** Idle time that shows that nothing was waiting to be read, ms. */
const IDLE_MS = 0.5;

/** Lag below this is ordinary work between two reads, ms. */
const MIN_LAG_MS = 40;

/** Time for which input may have waited unread because the process was busy. */
export interface LoopLag {
  /**
   * Upper bound for input that is handled now, ms; 0 when it is small. To be
   * called at least every `LAG_WINDOW_MS`: work of that time counts as lag.
   */
  read(): number;
}

/**
 * Creates the measure of one process from the monotonic time and the time that
 * the event loop was idle, ms. Input that arrives while the event loop
 * is busy waits in the socket's buffer, and its deadline goes on.
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
