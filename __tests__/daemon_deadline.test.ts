import test from 'ava';
import {HEADERS} from '../src/internal.js';
import {
  formatForward,
  listAnswers,
  startHarness,
} from './support/daemon_harness.js';
import {until} from './support/owner_fake.js';

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
