/** Value that can be read as of an earlier time. */
export interface DelayedValue<T> {
  set(value: T): void;
  /** Returns the value as of `lagMs` ago. */
  read(lagMs: number): T;
}

/** Creates a delayed value; history older than 60 s may be discarded. */
export function createDelayedValue<T>(initial: T): DelayedValue<T> {
  let history = [{at: -Infinity, value: initial}];
  return {
    set: value => {
      const now = performance.now();
      history.push({at: now, value});
      if (history.length < 10_000) return;
      const kept = history.findLastIndex(h => h.at < now - 60_000);
      history = history.slice(Math.max(kept, history.length - 5_000));
    },
    read: lagMs => {
      const limit = performance.now() - lagMs;
      return (history.findLast(h => h.at <= limit) ?? history[0]).value;
    },
  };
}
