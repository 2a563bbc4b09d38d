import {setTimeout as delay} from 'node:timers/promises';
import type {Daemon} from './daemons.js';
import {
  expectReady,
  type Fault,
  type Harness,
  markDisrupted,
  pickFrom,
  pickRunningDaemon,
  RESTART_DELAY_MS,
  restartDaemon,
  runRecovery,
  waitForStop,
} from './harness.js';

/** Share of the restarts of these kinds that begin with SIGKILL. */
const KILL_SHARE = 0.5;

/** Latest early signal after the first line of the loader, ms; by then the program
 * is loaded. */
const EARLY_SIGNAL_MS = 200;

/** Signals that a starting daemon gets, in this order. */
const EARLY_SIGNALS: NodeJS.Signals[][] = [
  ['SIGHUP'],
  ['SIGTERM'],
  ['SIGHUP', 'SIGTERM'],
  ['SIGTERM', 'SIGHUP'],
  ['SIGTERM', 'SIGTERM'],
];

/** Stops or kills a daemon and waits for its end. */
async function endDaemon(
  harness: Harness,
  daemon: Daemon,
  isKilled: boolean,
): Promise<void> {
  if (isKilled) markDisrupted(harness, daemon);
  daemon.signal(isKilled ? 'SIGKILL' : 'SIGTERM');
  await waitForStop(harness, daemon);
}

/** Faults around the start of a daemon (issue 52), by kind. */
export const START_FAULTS: Record<string, Fault> = {
  earlySignal(harness) {
    const daemon = pickRunningDaemon(harness);
    if (!daemon) return undefined;
    const signals = pickFrom(harness, EARLY_SIGNALS);
    const offsets = signals
      .map(() => Math.round(EARLY_SIGNAL_MS * harness.random()))
      .sort((a, b) => a - b);
    const isKilled = harness.random() < KILL_SHARE;
    runRecovery(harness, async () => {
      await endDaemon(harness, daemon, isKilled);
      await delay(RESTART_DELAY_MS);
      restartDaemon(harness, daemon);
      const {incarnation} = daemon;
      await daemon.waitForLoader();
      let elapsedMs = 0;
      for (const [i, signal] of signals.entries()) {
        if (offsets[i] > elapsedMs) await delay(offsets[i] - elapsedMs);
        elapsedMs = offsets[i];
        if (daemon.incarnation === incarnation) daemon.signal(signal);
      }
      // Another fault may have restarted it.
      if (signals.includes('SIGTERM') && daemon.incarnation === incarnation) {
        await waitForStop(harness, daemon);
        await delay(RESTART_DELAY_MS);
        restartDaemon(harness, daemon);
      }
      await expectReady(harness, daemon);
    });
    const moments = signals.map((signal, i) => `${signal} at ${offsets[i]} ms`);
    return `${daemon.name} ${moments.join(', ')}`;
  },
};
