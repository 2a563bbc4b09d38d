import test from 'ava';
import {MAX_BODY_DISCARD_MS} from '../src/daemon/exchange.js';
import {HEADERS} from '../src/internal.js';
import {
  block,
  formatForward,
  formatRequest,
  listAnswers,
  openConnection,
  startHarness,
} from './support/daemon_harness.js';
import {call, startEntry, startOwner, until} from './support/owner_fake.js';

const DEADLINE_MS = 600;

const READ = [
  'GET /read HTTP/1.1',
  'host: shop.example',
  'x-label: a',
  `${HEADERS.deadlineMs}: ${DEADLINE_MS}`,
  'connection: close',
  '\r\n',
].join('\r\n');

// The owner ends before the entry, so that it can say that a queued request was
// not run. Customers got 504 while the upstream was at work.
test.serial('no own answer comes before the deadline', async t => {
  const {open} = await startHarness(t, ['a']);
  const customer = await open.customer();
  const sentAt = performance.now();
  customer.socket.write(READ);
  await customer.ended;
  const elapsedMs = performance.now() - sentAt;
  t.regex(customer.text, /^HTTP\/1\.1 504 /);
  t.true(elapsedMs >= DEADLINE_MS, `${elapsedMs} ms`);
});

// An upstream stops at the deadline that it was given. Its answer was replaced
// by that of the daemon.
test.serial('an upstream answers at its deadline', async t => {
  const {open, hold} = await startHarness(t, ['a']);
  const peer = await open.peer();
  peer.socket.write(formatForward('a', DEADLINE_MS));
  const res = await hold('a');
  const remainingMs = Number(res.req.headers[HEADERS.deadlineMs]);
  res.statusCode = 504;
  setTimeout(() => res.end('late'), remainingMs);
  await until(() => peer.text.includes('\r\n\r\n'));
  t.deepEqual(listAnswers(peer.text), ['504 a']);
});

const PAUSE_AT_MS = 300;

// Timers run before input: an answer that had arrived in time was replaced.
test.serial('an answer that arrived before the deadline is sent', async t => {
  const owner = await startOwner([], {id: 'u1'});
  const entry = await startEntry([owner.record]);
  t.teardown(async () => {
    await entry.stop();
    await owner.stop();
  });
  let held: (() => void) | undefined;
  owner.step =
    ({headers}) =>
    res => {
      const id = String(headers[HEADERS.id]);
      const answer = {[HEADERS.id]: id, [HEADERS.verdict]: 'ran'};
      held = () => res.writeHead(200, answer).end('hello');
    };
  const headers = {[HEADERS.deadlineMs]: String(PAUSE_AT_MS + 100)};
  const sentAt = performance.now();
  const reply = call(entry.port, 'GET', '/read', {headers});
  await until(() => performance.now() > sentAt + PAUSE_AT_MS);
  held!();
  block(200);
  t.is((await reply).body, 'hello');
});

// As above, for the answer of an upstream to its owner.
test.serial('an upstream that answered in time is not given up', async t => {
  const {open, hold} = await startHarness(t, ['a']);
  const peer = await open.peer();
  const sentAt = performance.now();
  peer.socket.write(formatForward('a', PAUSE_AT_MS + 100));
  const res = await hold('a');
  await until(() => performance.now() > sentAt + PAUSE_AT_MS);
  res.end('hello');
  block(200);
  await until(() => peer.text.includes('\r\n\r\n'));
  t.deepEqual(listAnswers(peer.text), ['200 a']);
});

// The connection was reset with the rest of the body and a request unread.
test.serial('a body that ended in time after a refusal is read', async t => {
  const entry = await startEntry([]);
  t.teardown(entry.stop);
  const customer = await openConnection(t, entry.port);
  const head = ['POST /none HTTP/1.1', 'host: x', 'content-length: 5', '\r\n'];
  customer.socket.write(head.join('\r\n'));
  await until(() => customer.text.includes('\r\n\r\n'));
  const refusedAt = performance.now();
  await until(() => performance.now() > refusedAt + MAX_BODY_DISCARD_MS - 100);
  customer.socket.write(`order${formatRequest('b', 'GET /none')}`);
  block(200);
  const list = () => listAnswers(customer.text);
  await until(() => list().length === 2 || customer.socket.destroyed);
  t.deepEqual(list(), ['404 -', '404 -']);
});

// A body that is read after the deadline must not start an attempt.
test.serial('nothing is passed on once the deadline has passed', async t => {
  const owner = await startOwner([], {id: 'u1'});
  const entry = await startEntry([owner.record]);
  t.teardown(async () => {
    await entry.stop();
    await owner.stop();
  });
  const customer = await openConnection(t, entry.port);
  const head = ['POST /book HTTP/1.1', 'host: x', 'content-length: 5'];
  const deadline = `${HEADERS.deadlineMs}: ${PAUSE_AT_MS + 100}`;
  const sentAt = performance.now();
  customer.socket.write([...head, deadline, '\r\n'].join('\r\n'));
  await until(() => performance.now() > sentAt + PAUSE_AT_MS);
  customer.socket.write('order');
  entry.now = PAUSE_AT_MS + 200;
  block(200);
  await until(() => customer.text.includes('\r\n\r\n'));
  t.regex(customer.text, /^HTTP\/1\.1 504 [^]*deadline-before-send/);
  t.is(entry.board.timeline.events.at(-1)?.detail.upstream, '');
  t.deepEqual(owner.seen, []);
});
