/** Cold start of an upstream: fewer slots and slower until warmed up. */
export interface ColdStartOptions {
  /** Initial number of slots. */
  slots: number;
  /** Initial multiplier of the service time. */
  slowdown: number;
  /** Completed runs until the upstream is warm. */
  warmAfterRuns: number;
  /** Load that crashes it: running requests plus excess attempts within 1 s. */
  fallOverAt: number;
}

/** Warm-up state of an upstream. */
export interface WarmUp {
  isCold(): boolean;
  slots(): number;
  /** Multiplier of the service time. */
  slowdown(): number;
  recordRun(): void;
  /** Records an attempt; returns true if it overloads a cold upstream. */
  recordAttempt(running: number, now: number): boolean;
  /** Resets the upstream to cold. */
  reset(): void;
}

/** Creates the warm-up state of an upstream that has just started. */
export function createWarmUp(
  fullSlots: number,
  cold: ColdStartOptions,
): WarmUp {
  let runs = 0;
  let attempts: number[] = [];

  const isCold = () => runs < cold.warmAfterRuns;
  const getProgress = () => Math.min(1, runs / Math.max(1, cold.warmAfterRuns));

  function slots(): number {
    if (!isCold()) return fullSlots;
    return Math.floor(cold.slots + getProgress() * (fullSlots - cold.slots));
  }

  function recordAttempt(running: number, now: number): boolean {
    if (!isCold()) return false;
    attempts = attempts.filter(at => at > now - 1_000);
    // Only attempts that exceed the slots add to the overload.
    if (running >= slots()) attempts.push(now);
    return running + attempts.length >= cold.fallOverAt;
  }

  return {
    isCold,
    slots,
    slowdown: () =>
      isCold() ? cold.slowdown + getProgress() * (1 - cold.slowdown) : 1,
    recordRun: () => {
      runs++;
    },
    recordAttempt,
    reset: () => {
      runs = 0;
      attempts = [];
    },
  };
}
