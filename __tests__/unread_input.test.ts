import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import test from 'ava';
import {startHarness, until} from './support/sidecar_harness.js';

// Node runs due timers before it reads what arrived while the process stood
// still. Requests that arrived in time were answered with 408 and ran.

const HEADER_TIMEOUT_MS = 300;
const IDLE_TIMEOUT_MS = 400;

/** Longer than both timeouts, to which Node adds up to 1 s. */
const PAUSE_MS = 2_000;

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];

const LIMITS = {
  max_header_bytes: 4_096,
  max_body_bytes: 10_000,
  header_timeout: `${HEADER_TIMEOUT_MS}ms`,
  idle_timeout: `${IDLE_TIMEOUT_MS}ms`,
};

/** Blocks the event loop, as a stopped process does. */
function standStill(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

function formatBooking(id: string): string {
  const lines = [
    'POST /book/1 HTTP/1.1',
    'host: shop.example',
    `x-request-id: ${id}`,
    'x-deadline-ms: 5000',
    'content-length: 5',
  ];
  return `${lines.join('\r\n')}\r\n\r\norder`;
}

async function startWithTimeouts(t: Parameters<typeof startHarness>[0]) {
  const harness = await startHarness(t, ['dc1']);
  const [{board}] = harness.sidecars;
  harness.publish({limits: LIMITS});
  await until(
    () => board.table?.config.limits.headerTimeoutMs === HEADER_TIMEOUT_MS,
  );
  const {host, customerPort} = board.settings;
  const open = async () => {
    const socket = connect({port: customerPort, host, allowHalfOpen: true});
    t.teardown(() => socket.destroy());
    await once(socket, 'connect');
    return socket;
  };
  return {harness, open};
}

/** Resolves to all that a connection receives until its end. */
function readToEnd(socket: Socket): Promise<string> {
  return new Promise(resolve => {
    let text = '';
    socket.setEncoding('utf8');
    socket.on('data', (chunk: string) => (text += chunk));
    socket.on('error', () => resolve(text));
    socket.on('end', () => {
      // The daemon's answer ends its side only; late input still arrives there.
      setTimeout(() => socket.end(), 100);
      resolve(text);
    });
  });
}

function readStatuses(text: string): number[] {
  return [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, code]) =>
    Number(code),
  );
}

const PARTS: Record<string, number> = {
  'in one piece': 0,
  'whose head came in two parts': 30,
};

for (const [kind, splitAt] of Object.entries(PARTS)) {
  // Customers were told that a booking had not run, and it ran.
  test.serial(`a booking ${kind} before the pause ends is served`, async t => {
    const {harness, open} = await startWithTimeouts(t);
    const socket = await open();
    const received = readToEnd(socket);
    const text = formatBooking('a');
    socket.write(text.slice(0, splitAt));
    await new Promise(resolve => setTimeout(resolve, 50));
    socket.write(text.slice(splitAt));
    standStill(PAUSE_MS);
    await until(() => harness.upstreams[0].runs.length > 0);
    const statuses = readStatuses(await received);
    t.deepEqual(statuses, [200]);
    t.deepEqual(harness.upstreams[0].runs, ['a']);
  });
}

// A customer that sent the rest of its head after the 408 had its request run.
test.serial('nothing runs after a 408', async t => {
  const {harness, open} = await startWithTimeouts(t);
  const socket = await open();
  const received = readToEnd(socket);
  const text = formatBooking('a');
  socket.write(text.slice(0, 30));
  socket.once('data', () => socket.write(text.slice(30)));
  const statuses = readStatuses(await received);
  await new Promise(resolve => setTimeout(resolve, 100));
  t.true(statuses.every(status => NOT_RUN_STATUSES.includes(status)));
  t.is(statuses.length, 1);
  t.deepEqual(harness.upstreams[0].runs, []);
});

// A kept connection was closed as idle although its next request had arrived.
test.serial('a request on an idle connection survives a pause', async t => {
  const {harness, open} = await startWithTimeouts(t);
  const socket = await open();
  const received = readToEnd(socket);
  socket.write(formatBooking('a'));
  await once(socket, 'data');
  socket.write(formatBooking('b'));
  standStill(PAUSE_MS);
  t.deepEqual(readStatuses(await received), [200, 200]);
  t.deepEqual(harness.upstreams[0].runs, ['a', 'b']);
});
