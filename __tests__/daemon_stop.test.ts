import type {ServerResponse} from 'node:http';
import test, {type ExecutionContext} from 'ava';
import {announceLeaving, HEADERS} from '../src/internal.js';
import {
  formatRequest,
  listAnswers,
  openConnection,
} from './support/daemon_harness.js';
import {startEntry, startOwner, until} from './support/owner_fake.js';

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
