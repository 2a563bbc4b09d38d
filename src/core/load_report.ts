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
