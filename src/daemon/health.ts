import {computeBackoff, type Random} from '../internal.js';
import type {Upstream} from './upstream.js';

/** First and longest delay between probes of an upstream that is down, ms. */
export const PROBE_DELAY_MS = {first: 200, longest: 2_000};

// A stopping upstream may close its connections just before its listening
// socket, so requests that failed shortly before connections were refused count
// as in flight.
const BROKEN_REQUEST_WINDOW_MS = 1_000;

/** Dependencies of the health monitor. */
export interface HealthMonitorDeps {
  readonly upstream: Upstream;
  readonly random: Random;
  /** Monotonic clock, ms. */
  readonly now: () => number;
  /** Called with the fingerprints of the requests in flight; may be empty. */
  readonly onDown: (fingerprints: string[]) => void;
  readonly onUp: () => void;
}

/** Tracks whether the upstream is up and which requests are in flight. */
export interface HealthMonitor {
  isDown(): boolean;
  /** Marks a request as in flight; returns a function that removes the mark. */
  trackRequest(fingerprint: string): () => void;
  /** Checks for a crash after an exchange; true if connections are refused. */
  checkCrash(brokenFingerprint?: string): Promise<boolean>;
  stop(): void;
}

/** Creates the monitor of an upstream that is assumed to be up. */
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
      // A check that began before this request failed covers it too: the
      // request was in the set that the check copied, or is in
      // `brokenRequests`.
      check ??= runCheck();
      return check;
    },
    stop() {
      stopped = true;
      clearTimeout(probeTimer);
    },
  };
}
