/** Load of an upstream, reported by its daemon. */
export interface LoadReport {
  readonly inFlight: number;
  /** Requests that wait for a slot, or unread for the daemon. */
  readonly queued: number;
  readonly slots: number;
  readonly meanMs: number;
  /** Share of failed requests, 0 to 1. */
  readonly failShare: number;
  readonly cold: boolean;
  /** True when the daemon or its upstream is about to stop. */
  readonly leaving: boolean;
  /** True when the reads of the store by the daemon fail. */
  readonly storeLost: boolean;
  /** Present where requests are placed by work. */
  readonly work?: WorkReport;
}

/** Work of an upstream, reported by its daemon. */
export interface WorkReport {
  /** Speed now; only its relation to that of other upstreams has a meaning. */
  readonly speed: number;
  /** Speed over a longer time, in the same unit. */
  readonly usualSpeed: number;
  /** Expected time until one more request starts, ms. */
  readonly waitMs: number;
  /** Expected time of the slots until what runs and waits has ended, ms. */
  readonly leftMs: number;
  /** Time in the slot of the request whose answer brings the report, ms. */
  readonly runMs?: number;
}

/** Formats a load report as a header value. */
export function formatReport(report: LoadReport): string {
  const {cold, leaving, storeLost} = report;
  const flags = (cold ? 1 : 0) + (leaving ? 2 : 0) + (storeLost ? 4 : 0);
  const {inFlight, queued, slots, meanMs, failShare} = report;
  const percent = Math.round(failShare * 100);
  return [inFlight, queued, slots, Math.round(meanMs), percent, flags].join();
}

/** Parses the header value; undefined when absent or malformed. */
export function parseReport(text: string | undefined): LoadReport | undefined {
  const match = /^(\d{1,6}),(\d{1,6}),(\d{1,6}),(\d{1,7}),(\d{1,3}),(\d)$/.exec(
    text ?? '',
  );
  if (!match) return undefined;
  const [inFlight, queued, slots, meanMs, percent, flags] = match
    .slice(1)
    .map(Number);
  return {
    inFlight,
    queued,
    slots: Math.max(1, slots),
    meanMs,
    failShare: percent / 100,
    cold: (flags & 1) !== 0,
    leaving: (flags & 2) !== 0,
    storeLost: (flags & 4) !== 0,
  };
}

/**
 * Formats the work of an upstream as a header value of its own: daemons that do
 * not know it drop it, while they would refuse a load report with more fields.
 */
export function formatWork(work: WorkReport): string {
  const {speed, usualSpeed, waitMs, leftMs, runMs} = work;
  const numbers = [speed * 1_000, usualSpeed * 1_000, waitMs, leftMs];
  if (runMs !== undefined) numbers.push(runMs);
  return numbers.map(n => Math.min(MAX_NUMBER, Math.round(n))).join();
}

/** Largest number in a header value of work. */
const MAX_NUMBER = 9_999_999;

/** Parses the header value; undefined when absent or malformed. */
export function parseWork(text: string | undefined): WorkReport | undefined {
  const match = /^(\d{1,7}),(\d{1,7}),(\d{1,7}),(\d{1,7})(?:,(\d{1,7}))?$/.exec(
    text ?? '',
  );
  if (!match) return undefined;
  const [speed, usual, waitMs, leftMs, runMs] = match.slice(1).map(Number);
  if (speed === 0 || usual === 0) return undefined;
  const work = {
    speed: speed / 1_000,
    usualSpeed: usual / 1_000,
    waitMs,
    leftMs,
  };
  return match[5] === undefined ? work : {...work, runMs};
}
