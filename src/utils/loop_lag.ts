import {performance} from 'node:perf_hooks';

/** Idle time that shows that nothing was waiting to be read, ms. */
const IDLE_MS = 0.5;

/** Time for which input may have waited unread because the process was busy. */
export interface LoopLag {
  /** Upper bound for input that is handled now, ms. */
  read(): number;
}

/**
 * Creates the measure of one process. Input that arrives while the event loop
 * is busy waits in the socket's buffer, and its deadline goes on.
 */
export function createLoopLag(): LoopLag {
  let lastAt = performance.now();
  let lastIdle = performance.eventLoopUtilization().idle;
  let busyMs = 0;
  return {
    read() {
      const now = performance.now();
      const {idle} = performance.eventLoopUtilization();
      const idleMs = idle - lastIdle;
      const activeMs = Math.max(0, now - lastAt - idleMs);
      busyMs = idleMs > IDLE_MS ? activeMs : busyMs + activeMs;
      lastAt = now;
      lastIdle = idle;
      return busyMs;
    },
  };
}
