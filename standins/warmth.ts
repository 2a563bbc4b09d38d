/** Cold start of an upstream: few slots and slow at first, warm after runs. */
export interface ColdStart {
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
export interface Warmth {
  isCold(): boolean;
  slots(): number;
  /** Multiplier of the service time. */
  slowdown(): number;
  noteRun(): void;
  /** Notes an attempt; returns true when a cold upstream falls over. */
  noteAttempt(running: number, now: number): boolean;
  /** Makes the upstream cold again. */
  chill(): void;
}

/** Creates the state of an upstream that has just started. */
export function createWarmth(fullSlots: number, cold: ColdStart): Warmth {
  let runs = 0;
  let attempts: number[] = [];

  const isCold = () => runs < cold.warmAfterRuns;
  const share = () => Math.min(1, runs / Math.max(1, cold.warmAfterRuns));

  function slots(): number {
    if (!isCold()) return fullSlots;
    return Math.floor(cold.slots + share() * (fullSlots - cold.slots));
  }

  function noteAttempt(running: number, now: number): boolean {
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
      isCold() ? cold.slowdown + share() * (1 - cold.slowdown) : 1,
    noteRun: () => {
      runs++;
    },
    noteAttempt,
    chill: () => {
      runs = 0;
      attempts = [];
    },
  };
}
