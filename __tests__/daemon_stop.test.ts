import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import test, {type ExecutionContext} from 'ava';
import {DRAIN_NOTICE_MS} from '../src/daemon/daemon.js';
import {announceLeaving, HEADERS, recordEvent} from '../src/internal.js';
import {
  block,
  formatForward,
  formatRequest,
  listAnswers,
  openConnection,
  startHarness,
} from './support/daemon_harness.js';
import {startEntry, startOwner, until} from './support/owner_fake.js';

/** More than the buffers of a connection hold. */
const LARGE_BYTES = 12_000_000;

/** An entry and an owner that leaves the request `a` to the test. */
async function startHeld(t: ExecutionContext) {
  const owner = await startOwner([], {id: 'u1'});
  const entry = await startEntry([owner.record]);
  let held: (() => void) | undefined;
  const respond = (res: ServerResponse, label: string, id: string) => {
    const headers = {[HEADERS.id]: id, [HEADERS.verdict]: 'ran'};
    res.writeHead(200, {...headers, 'x-label': label}).end('hello');
  };
  owner.step =
    ({label, headers}) =>
    res => {
      const send = () => respond(res, label, String(headers[HEADERS.id]));
      if (label === 'a') held = send;
      else send();
    };
  t.teardown(async () => {
    await entry.stop();
    await owner.stop();
  });
  return {
    entry,
    waitForRun: () => until(() => held !== undefined),
    release: () => held?.(),
  };
}

// Requests of a connection that were read got no answer behind one that was read
// during the stop: it announced the close.
test.serial('a stop answers all requests of a connection', async t => {
  const {entry, waitForRun, release} = await startHeld(t);
  const customer = await openConnection(t, entry.port);
  announceLeaving(entry.board, 0);
  const book = formatRequest('b', 'POST /book');
  customer.socket.write(formatRequest('a') + book + formatRequest('c'));
  await waitForRun();
  release();
  await customer.ended;
  t.deepEqual(listAnswers(customer.text), ['200 a', '200 b', '200 c close']);
});

// An answer whose request began before the stop did not announce the close, and
// customers sent their next request on a connection that was about to close.
test.serial('an answer during a stop announces the close', async t => {
  const {entry, waitForRun, release} = await startHeld(t);
  const customer = await openConnection(t, entry.port);
  customer.socket.write(formatRequest('a'));
  await waitForRun();
  announceLeaving(entry.board, 0);
  release();
  await until(() => customer.text.includes('hello'));
  t.deepEqual(listAnswers(customer.text), ['200 a close']);
});

// As above, for refusals.
test.serial('refusals during a stop announce the close last', async t => {
  const {entry, waitForRun, release} = await startHeld(t);
  const customer = await openConnection(t, entry.port);
  const none = formatRequest('b', 'GET /none');
  customer.socket.write(formatRequest('a') + none + none);
  await waitForRun();
  announceLeaving(entry.board, 0);
  const stopped = entry.entry.stop();
  release();
  await customer.ended;
  t.deepEqual(listAnswers(customer.text), ['200 a', '503 -', '503 - close']);
  await stopped;
});

const ARRIVED = {
  customer: {
    first: formatRequest('a', 'GET /none'),
    next: formatRequest('b', 'GET /none'),
    expected: ['404 -', '503 - close'],
  },
  peer: {
    first: formatForward('a', 0),
    next: formatForward('b', 5_000),
    expected: ['504 -', '503 - close'],
  },
  admin: {
    first: formatRequest('a', 'GET /live'),
    next: formatRequest('b', 'GET /live'),
    expected: ['200 -', '200 - close'],
  },
};

for (const [port, {first, next, expected}] of Object.entries(ARRIVED)) {
  // A connection was closed as idle while a request that had arrived on it was
  // unread; the reset told an entry that its request may have run.
  test.serial(
    `a stop answers what has arrived at the ${port} port`,
    async t => {
      const {stop, open} = await startHarness(t);
      const connection = await open[port as keyof typeof ARRIVED]();
      connection.socket.write(first);
      await until(() => connection.text.includes('HTTP/1.1 '));
      const closeAt = performance.now() + DRAIN_NOTICE_MS;
      const stopped = stop();
      await until(() => performance.now() > closeAt - 50);
      connection.socket.write(next);
      // Timers run before input, so the ports close before it is read.
      block(100);
      await connection.ended;
      t.deepEqual(listAnswers(connection.text), expected);
      connection.socket.end();
      await stopped;
    },
  );
}

// Connections were counted as idle while the answer was still being written.
test.serial('a stop does not cut an answer of the admin port', async t => {
  const {board, stop, open} = await startHarness(t);
  const connection = await open.admin();
  const note = 'x'.repeat(LARGE_BYTES);
  recordEvent(board.timeline, 'started', {note}, 0);
  connection.socket.write(formatRequest('a', 'GET /timeline'));
  await once(connection.socket, 'data');
  connection.socket.pause();
  const stopped = stop();
  await new Promise(resolve => setTimeout(resolve, DRAIN_NOTICE_MS + 100));
  connection.socket.resume();
  await connection.ended;
  t.true(connection.text.length > LARGE_BYTES, `${connection.text.length}`);
  connection.socket.end();
  await stopped;
});
