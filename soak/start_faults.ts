import {createServer} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type Daemon, type FileState, PORTS} from './daemons.js';
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
import {listen} from './proxy.js';

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

/** Time for which a settings file is not whole, ms. */
const LATE_FILE_MS = {shortest: 50, spread: 1_450};

const FILE_FAULTS: FileState[] = ['empty', 'cut', 'absent', 'null'];

/** Share of the settings files that are rewritten under a running daemon. */
const REWRITE_SHARE = 0.4;

/** Time for which a stranger holds a port of a daemon, ms. */
const HOLD_MS = {shortest: 5_500, spread: 2_500};

const HELD_PORTS = ['customer', 'peer', 'ready', 'control', 'metrics'] as const;

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

function pickDuration(
  {random}: Harness,
  {shortest, spread}: {shortest: number; spread: number},
): number {
  return Math.round(shortest + spread * random());
}

/** Faults around the start of a daemon and its settings (issues 52 and 53), by
 * kind. */
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
  lateSettings(harness) {
    const daemon = pickRunningDaemon(harness);
    if (!daemon) return undefined;
    const state = pickFrom(harness, FILE_FAULTS);
    const ms = pickDuration(harness, LATE_FILE_MS);
    const isRunning = harness.random() < REWRITE_SHARE;
    const isKilled = harness.random() < KILL_SHARE;
    const isSignalled = harness.random() < 0.5;
    runRecovery(harness, async () => {
      if (!isRunning) {
        await endDaemon(harness, daemon, isKilled);
        await delay(RESTART_DELAY_MS);
      }
      daemon.writeSettings(state);
      if (!isRunning) {
        daemon.start();
        // Counted from here: Node alone takes longer to start on a busy machine.
        await daemon.waitForLoader();
        daemon.disruptedAt = harness.now() + ms;
      }
      if (isSignalled) daemon.signal('SIGHUP');
      await delay(ms);
      daemon.writeSettings('whole');
      if (isSignalled) daemon.signal('SIGHUP');
      await expectReady(harness, daemon);
    });
    const phase = isRunning ? 'while it runs' : 'at its start';
    const signal = isSignalled ? ', SIGHUP' : '';
    return `${daemon.name} ${state} for ${ms} ms ${phase}${signal}`;
  },
  newService(harness) {
    const daemon = pickRunningDaemon(harness);
    if (!daemon) return undefined;
    const inPlace = harness.random() < 0.5;
    const {services, checker} = harness;
    const from = services.get(daemon.name) ?? '';
    const to = from === 'a' ? 'b' : 'a';
    if (!daemon.changeSettings({service: to}, inPlace)) return undefined;
    services.set(daemon.name, to);
    checker.recordServiceChange(from, to);
    const way = inPlace ? 'in place' : 'by another file';
    return `${daemon.name} is of ${to} now, ${way}`;
  },
  heldPort(harness) {
    const daemon = pickRunningDaemon(harness);
    if (!daemon) return undefined;
    const name = pickFrom(harness, HELD_PORTS);
    const ms = pickDuration(harness, HOLD_MS);
    const isKilled = harness.random() < KILL_SHARE;
    runRecovery(harness, async () => {
      await endDaemon(harness, daemon, isKilled);
      const stranger = createServer(socket => socket.destroy());
      const isHeld = await listen(stranger, daemon.host, PORTS[name]).then(
        () => true,
        () => false,
      );
      restartDaemon(harness, daemon);
      // Another fault's recovery was faster.
      if (!isHeld) return;
      await daemon.waitForLoader();
      // Customers and other daemons reach the stranger; the metrics page is
      // nothing that they need.
      if (name !== 'metrics') daemon.disruptedAt = harness.now() + ms;
      const isReadyInTime =
        name === 'metrics' ? expectReady(harness, daemon) : undefined;
      await delay(ms);
      await isReadyInTime;
      await new Promise(resolve => stranger.close(resolve));
      await expectReady(harness, daemon);
    });
    return `${daemon.name} ${name} for ${ms} ms`;
  },
};
