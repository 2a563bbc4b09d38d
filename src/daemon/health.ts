import {computeBackoff, type Random} from '../internal.js';
import type {Upstream} from './upstream.js';

/** First and longest pause between probes of an upstream that is down, ms. */
export const PROBE_DELAY_MS = {first: 200, longest: 2_000};

// An upstream that stops may close its connections just before its listening
// socket, so the requests broken shortly before the refusal count as well.
const BROKEN_REQUEST_WINDOW_MS = 1_000;

/** What the owner gives to the health watch. */
export interface HealthMonitorDeps {
  readonly upstream: Upstream;
  readonly random: Random;
  /** Monotonic clock, ms. */
  readonly now: () => number;
  /** Called with the fingerprints that were in flight; empty if none was. */
  readonly onDown: (fingerprints: string[]) => void;
  readonly onUp: () => void;
}

/** Knows whether the upstream accepts connections and what ran at a crash. */
export interface HealthMonitor {
  isDown(): boolean;
  /** Counts a request as in flight; returns the function that ends that. */
  trackRequest(fingerprint: string): () => void;
  /** After a failed exchange: true if the upstream refuses connections. */
  checkCrash(brokenFingerprint?: string): Promise<boolean>;
  stop(): void;
}

/** Creates the watch of an upstream that is taken to be up. */
export function createHealthMonitor(deps: HealthMonitorDeps): HealthMonitor {
  const {upstream, random, now} = deps;
  const inFlight = new Set<{fingerprint: string}>();
  let brokenRequests: Array<{fingerprint: string; at: number}> = [];
  let down = false;
  let stopped = false;
  let check: Promise<boolean> | undefined;
  let probeTimer: NodeJS.Timeout | undefined;

  const scheduleProbe = (attempt: number) => {
    if (stopped) return;
    const {first, longest} = PROBE_DELAY_MS;
    const pause = first + computeBackoff(attempt, first, longest, random);
    probeTimer = setTimeout(
      () => void runProbe(attempt),
      Math.min(pause, longest),
    );
  };
  const runProbe = async (attempt: number) => {
    const answered = await upstream.probe();
    if (stopped) return;
    if (!answered) return scheduleProbe(attempt + 1);
    down = false;
    brokenRequests = [];
    deps.onUp();
  };
  const runCheck = async () => {
    const fingerprints = [...inFlight].map(item => item.fingerprint);
    const refused = await upstream.refusesConnections();
    check = undefined;
    if (!refused || down) return refused;
    down = true;
    const recent = brokenRequests.filter(
      item => now() - item.at < BROKEN_REQUEST_WINDOW_MS,
    );
    fingerprints.push(...recent.map(item => item.fingerprint));
    deps.onDown([...new Set(fingerprints)]);
    scheduleProbe(0);
    return true;
  };

  return {
    isDown: () => down,
    trackRequest(fingerprint) {
      const item = {fingerprint};
      inFlight.add(item);
      return () => inFlight.delete(item);
    },
    checkCrash(brokenFingerprint) {
      if (brokenFingerprint !== undefined) {
        brokenRequests = brokenRequests.filter(
          item => now() - item.at < BROKEN_REQUEST_WINDOW_MS,
        );
        brokenRequests.push({fingerprint: brokenFingerprint, at: now()});
      }
      // A check that began before this request broke covers it too: the
      // request was in the set that the check copied, or is in `broken`.
      check ??= runCheck();
      return check;
    },
    stop() {
      stopped = true;
      clearTimeout(probeTimer);
    },
  };
}
