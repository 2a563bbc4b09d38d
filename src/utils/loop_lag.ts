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

/** Sources of the lag meter; tests replace them. */
export interface LoopLagDeps {
  /** Monotonic time, ms. */
  readonly readNow: () => number;
  /** Total idle time of the event loop, ms. */
  readonly readIdle: () => number;
  /** Calls back when the current iteration of the event loop has read and
   * handled its input. */
  readonly onIterationEnd: (callback: () => void) => void;
}

const RUNTIME_DEPS: LoopLagDeps = {
  readNow: () => performance.now(),
  readIdle: () => performance.eventLoopUtilization().idle,
  onIterationEnd: setImmediate,
};

/**
 * Creates the lag meter of a process. While the loop is busy, input waits in
 * the socket buffer and its deadline keeps running. Each iteration reads all
 * input that has arrived, so input handled now arrived after the previous
 * iteration had read its own, and after the last idle time.
 */
export function createLoopLag(deps = RUNTIME_DEPS): LoopLag {
  const {readNow, readIdle, onIterationEnd} = deps;
  const readTimes = () => ({at: readNow(), idle: readIdle()});
  let arrivedAfter = readTimes();
  let lastRead = arrivedAfter;
  let iterationEnd = arrivedAfter;
  let awaitsEnd = false;
  const recordIterationEnd = (): void => {
    awaitsEnd = false;
    if (iterationEnd.at > arrivedAfter.at) arrivedAfter = iterationEnd;
    iterationEnd = readTimes();
  };
  return {
    read() {
      const times = readTimes();
      if (times.idle - lastRead.idle > IDLE_MS) arrivedAfter = lastRead;
      lastRead = times;
      if (!awaitsEnd) {
        awaitsEnd = true;
        onIterationEnd(recordIterationEnd);
      }
      const idleMs = times.idle - arrivedAfter.idle;
      const busyMs = times.at - arrivedAfter.at - idleMs;
      return busyMs < MIN_LAG_MS ? 0 : busyMs;
    },
  };
}
