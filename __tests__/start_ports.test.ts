import {once} from 'node:events';
import {rmSync, writeFileSync} from 'node:fs';
import {type Server, connect, createServer} from 'node:net';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {READY_PATH} from '../platform/decode.js';
import {createDaemonSettings, PORTS} from '../soak/daemons.js';
import {
  type DaemonProcess,
  createDirectory,
  MAIN_FILE,
  startProcess,
} from './support/daemon_process.js';

/** Addresses on which no other test listens, one a test. */
function formatHost(number: number): string {
  return `127.82.${(process.pid >> 1) & 127}.${number}`;
}

async function hold(
  t: ExecutionContext,
  port: number,
  host: string,
): Promise<Server> {
  const holder = createServer();
  holder.listen(port, host);
  await once(holder, 'listening');
  t.teardown(() => holder.close());
  return holder;
}

function startOn(t: ExecutionContext, host: string): DaemonProcess {
  const file = join(createDirectory(t), 'node.json');
  writeSettings(file, host);
  return startProcess(t, [MAIN_FILE], file);
}

function writeSettings(file: string, host: string): void {
  const settings = createDaemonSettings('d0', host, 'z1', 's', []);
  writeFileSync(file, JSON.stringify(settings));
}

// A stop while the daemon waited for a port was noticed only after the wait.
test('a daemon that waits for a port ends in order on SIGTERM', async t => {
  const host = formatHost(1);
  await hold(t, PORTS.customer, host);
  const {child, ended, waitForLine} = startOn(t, host);
  await waitForLine('portUnavailable');
  child.kill('SIGTERM');
  const {starting} = await waitForLine('stopped');
  t.true(starting);
  t.deepEqual(await ended, [0, null]);
});

/** Longer than the grace time of an earlier process on the same ports, ms. */
const HELD_MS = 7_000;

// A start gave up after 5 s, while an earlier process that was paused or took its
// whole grace time still held the port.
test('a port that is held for seconds does not end a start', async t => {
  const host = formatHost(2);
  const holder = await hold(t, PORTS.customer, host);
  const daemon = startOn(t, host);
  const line = await daemon.waitForLine('portUnavailable');
  t.like(line, {port: PORTS.customer, purpose: 'customer', code: 'EADDRINUSE'});
  await delay(HELD_MS);
  // Not ready: the platform sends no customers.
  const res = await fetch(`http://${host}:${PORTS.ready}${READY_PATH}`);
  t.is(res.status, 503);
  holder.close();
  await daemon.waitForLine('started');
  const opened = await daemon.waitForLine('portOpened');
  t.true(Number(opened['waitedMs']) >= HELD_MS);
  t.is(daemon.readStderr(), '');
});

/** Port of the metrics page. */
const METRICS_PORT = 9_464;

// A stranger on the port of the metrics page, which is the same on each machine,
// ended a start.
test('a taken port of the metrics page does not hold up a start', async t => {
  const host = formatHost(3);
  const holder = await hold(t, METRICS_PORT, host);
  const daemon = startOn(t, host);
  const line = await daemon.waitForLine('portUnavailable');
  t.like(line, {port: METRICS_PORT, purpose: 'metrics', code: 'EADDRINUSE'});
  await daemon.waitForLine('started');
  holder.close();
  t.like(await daemon.waitForLine('portOpened'), {purpose: 'metrics'});
  const res = await fetch(`http://${host}:${METRICS_PORT}/metrics`);
  t.is(res.status, 200);
});

// Customers connected to a daemon that waited for another port and could not
// serve them.
test('customers are not accepted before the other ports are open', async t => {
  const host = formatHost(4);
  await hold(t, PORTS.peer, host);
  const daemon = startOn(t, host);
  await daemon.waitForLine('portUnavailable');
  const socket = connect(PORTS.customer, host);
  const [err] = (await once(socket, 'error')) as [NodeJS.ErrnoException];
  t.is(err.code, 'ECONNREFUSED');
});

// A start that waited at an old address or port did not see that the settings had
// changed, and waited for ever.
test('a start that waits for a port takes up changed settings', async t => {
  t.timeout(30_000);
  const host = formatHost(5);
  await hold(t, PORTS.customer, host);
  const file = join(createDirectory(t), 'node.json');
  writeSettings(file, host);
  const daemon = startProcess(t, [MAIN_FILE], file);
  await daemon.waitForLine('portUnavailable');
  // Invalid ones are reported, and the wait goes on.
  rmSync(file);
  daemon.child.kill('SIGHUP');
  await daemon.waitForLine('settingsInvalid');
  const other = formatHost(6);
  writeSettings(file, other);
  daemon.child.kill('SIGHUP');
  await daemon.waitForLine('started');
  const socket = connect(PORTS.customer, other);
  t.teardown(() => socket.destroy());
  await t.notThrowsAsync(once(socket, 'connect'));
  // The ports at the old address are free again.
  await t.notThrowsAsync(hold(t, PORTS.ready, host));
});
