/** Cold start of an upstream: few slots and slow at first, warm after runs. */
export interface ColdStartOptions {
  /** Slots while cold. */
  slots: number;
  /** Service time is multiplied by this at first. */
  slowdown: number;
  /** Completed runs until warm. */
  warmAfterRuns: number;
  /** Attempts within a second, running and shed, that make it fall over. */
  fallOverAt: number;
}

/** Warmth of one upstream. */
export interface WarmUp {
  isCold(): boolean;
  slots(): number;
  /** Multiplier of the service time. */
  slowdown(): number;
  recordRun(): void;
  /** Notes an attempt; returns true when a cold upstream falls over. */
  recordAttempt(running: number, now: number): boolean;
  /** Makes the upstream cold again. */
  reset(): void;
}

/** Creates the state of an upstream that has just started. */
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
    // Attempts beyond the slots are the load that a cold upstream can't bear.
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
