/** Simulated time in which events run in order. */
export interface EventQueue {
  readonly now: () => number;
  schedule(delayMs: number, run: () => void): void;
  /** Runs all events. */
  runAll(): void;
}

/** Creates an empty queue at time 0. */
export function createEventQueue(): EventQueue {
  const events: Array<{at: number; run: () => void}> = [];
  let now = 0;
  return {
    now: () => now,
    schedule(delayMs, run) {
      const at = now + delayMs;
      const index = events.findLastIndex(event => event.at > at);
      // The latest event comes first, so that the next one is popped.
      events.splice(index + 1, 0, {at, run});
    },
    runAll() {
      for (let next = events.pop(); next; next = events.pop()) {
        now = next.at;
        next.run();
      }
    },
  };
}
