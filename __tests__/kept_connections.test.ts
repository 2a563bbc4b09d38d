import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {answerOk, startHarness, until} from './support/sidecar_harness.js';

// Customers may send the next requests of a connection before the answer to an
// earlier one has arrived.

/** More than the buffers of a connection hold. */
const LARGE_BYTES = 12_000_000;

const POST_LINES = ['content-length: 5', '', 'order'];

function formatRequest(
  id: string,
  first = 'GET /slow/1',
  rest: readonly string[] = ['', ''],
): string {
  return [
    `${first} HTTP/1.1`,
    'host: shop.example',
    `x-request-id: ${id}`,
    'x-deadline-ms: 5000',
    ...rest,
  ].join('\r\n');
}

/** Collects all that a connection receives until its end. */
function collect(socket: Socket): {text: string; ended: Promise<void>} {
  const received = {text: '', ended: Promise.resolve()};
  socket.setEncoding('latin1');
  socket.on('data', (chunk: string) => (received.text += chunk));
  socket.on('error', () => {});
  received.ended = new Promise(resolve => {
    socket.once('end', resolve);
    socket.once('close', resolve);
  });
  return received;
}

/** Status, id and announced close of each answer, in order. */
function listAnswers(text: string): string[] {
  return text
    .split(/(?=HTTP\/1\.1 \d{3} )/)
    .filter(answer => answer.startsWith('HTTP/'))
    .map(answer => {
      const [head] = answer.split('\r\n\r\n', 1);
      const status = head.slice(9, 12);
      const id = /x-request-id: (\w+)/i.exec(head)?.[1] ?? '-';
      const closes = /^connection: close/im.test(head) ? ' close' : '';
      return `${status} ${id}${closes}`;
    });
}

/** A daemon whose upstream answers a request when the test calls its function. */
async function startDaemon(t: ExecutionContext) {
  const harness = await startHarness(t, ['dc1']);
  const [sidecar] = harness.sidecars;
  const [upstream] = harness.upstreams;
  const answers = new Map<string, (body?: string) => void>();
  const respond = (req: IncomingMessage, res: ServerResponse) => {
    const id = String(req.headers['x-request-id']);
    answers.set(id, body => answerOk(req, res, body));
  };
  upstream.handle = respond;
  const answer = async (id: string, body?: string) => {
    await until(() => answers.has(id));
    answers.get(id)?.(body);
  };
  const {host, customerPort} = sidecar.board.settings;
  const open = async () => {
    const socket = connect({port: customerPort, host, allowHalfOpen: true});
    t.teardown(() => socket.destroy());
    await once(socket, 'connect');
    return socket;
  };
  return {harness, sidecar, upstream, answer, open};
}

// Logs could not tell a connection that was cut from an answer of the daemon.
test.serial('requests of a connection that is cut are logged', async t => {
  const {harness, sidecar, upstream, open} = await startDaemon(t);
  const socket = await open();
  collect(socket);
  socket.write(formatRequest('a') + formatRequest('b'));
  await until(() => upstream.runs.includes('a'));
  await sidecar.close();
  const {counters} = sidecar.board;
  await until(() => counters.get('entry_connections_cut'));
  await until(() => harness.lines.some(line => line.includes('connectionCut')));
  const cut = harness.lines
    .map(line => JSON.parse(line) as Record<string, unknown>)
    .filter(({decision}) => decision === 'connectionCut')
    .map(({request}) => request);
  t.deepEqual(cut, ['a', 'b']);
});

// From SIGTERM on the first answer closed its connection, and requests that were
// at their upstreams got no answer.
test.serial('a stop answers all requests of a connection', async t => {
  const {sidecar, upstream, answer, open} = await startDaemon(t);
  const socket = await open();
  const received = collect(socket);
  const book = formatRequest('b', 'POST /slow/2', POST_LINES);
  socket.write(formatRequest('a') + book + formatRequest('c'));
  await until(() => upstream.runs.includes('a'));
  const stopped = sidecar.stop();
  for (const id of ['a', 'b', 'c']) await answer(id);
  await received.ended;
  t.deepEqual(listAnswers(received.text), ['200 a', '200 b', '200 c close']);
  await stopped;
});

// The connection counted as idle once the first of its requests was answered.
test.serial('a stop closes no connection in use as idle', async t => {
  const {sidecar, upstream, answer, open} = await startDaemon(t);
  const socket = await open();
  const received = collect(socket);
  socket.write(formatRequest('a') + formatRequest('b'));
  await answer('a');
  await until(() => upstream.runs.includes('b'));
  await until(() => received.text.includes('hello'));
  const stopped = sidecar.stop();
  await until(() => sidecar.board.closed);
  await new Promise(resolve => setTimeout(resolve, 100));
  await answer('b');
  await received.ended;
  t.deepEqual(listAnswers(received.text), ['200 a', '200 b close']);
  await stopped;
});

// An upstream's answer without a length closed the connection of the customer too; a
// booking behind it ran and got no answer, and later was dropped with it.
test.serial('an answer without a length keeps its connection', async t => {
  const {upstream, open} = await startDaemon(t);
  upstream.handle = (req, res) => {
    res.useChunkedEncodingByDefault = false;
    const id = String(req.headers['x-request-id']);
    const headers = {'x-request-id': id, 'x-server-stamp': 'signed'};
    res.writeHead(200, {...headers, connection: 'close'});
    setTimeout(() => res.end('hello'), 50);
  };
  const socket = await open();
  const received = collect(socket);
  const book = formatRequest('b', 'POST /slow/2', POST_LINES);
  socket.write(formatRequest('a') + book);
  await until(() => received.text.split('hello').length === 3);
  t.deepEqual(listAnswers(received.text), ['200 a', '200 b']);
  t.deepEqual(upstream.runs, ['a', 'b']);
});

// A booking behind an answer that closes its connection ran and got no answer. Here
// the customer has asked for the close.
test.serial('nothing runs behind an answer that closes', async t => {
  const {upstream, answer, open} = await startDaemon(t);
  const socket = await open();
  const received = collect(socket);
  const first = formatRequest('a', 'GET /slow/1', [
    'connection: close',
    '',
    '',
  ]);
  const book = formatRequest('b', 'POST /slow/2', POST_LINES);
  socket.write(first + book);
  await answer('a');
  await received.ended;
  t.deepEqual(listAnswers(received.text), ['200 a close']);
  await new Promise(resolve => setTimeout(resolve, 100));
  t.deepEqual(upstream.runs, ['a']);
});

// A booking behind an answer that is broken off ran and got no answer.
test.serial('nothing runs behind an answer that is dropped', async t => {
  const {sidecar, upstream, answer, open} = await startDaemon(t);
  const {waiting} = sidecar.board.answers;
  const socket = await open();
  socket.on('error', () => {});
  const book = formatRequest('b', 'POST /slow/2', POST_LINES);
  socket.write(formatRequest('a') + book);
  await answer('a', 'x'.repeat(LARGE_BYTES));
  await until(() => waiting.size === 1);
  for (const item of waiting) item.drop();
  await until(() => sidecar.board.counters.get('entry_connections_cut'));
  await new Promise(resolve => setTimeout(resolve, 100));
  t.deepEqual(upstream.runs, ['a']);
});

// Node reports a request before it counts as read whole, so each refusal without
// a wait closed its connection, and what followed was dropped.
test.serial('a refusal keeps the connection of a whole request', async t => {
  const {upstream, answer, open} = await startDaemon(t);
  const socket = await open();
  const received = collect(socket);
  socket.write(formatRequest('a', 'GET /none/1') + formatRequest('b'));
  await answer('b');
  await until(() => received.text.includes('hello'));
  t.deepEqual(listAnswers(received.text), ['404 -', '200 b']);
  t.deepEqual(upstream.runs, ['b']);
});

const MALFORMED: Record<string, string> = {
  'malformed input': 'hello\r\n\r\n',
  'a CONNECT request': 'CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n',
};

for (const [kind, bytes] of Object.entries(MALFORMED)) {
  // The connection was destroyed, and the request before got no answer.
  test.serial(`${kind} does not cut requests before it`, async t => {
    const {upstream, answer, open} = await startDaemon(t);
    const socket = await open();
    const received = collect(socket);
    socket.write(formatRequest('a') + formatRequest('b'));
    await until(() => upstream.runs.includes('a'));
    socket.write(bytes);
    await new Promise(resolve => setTimeout(resolve, 50));
    await answer('a');
    await answer('b');
    await received.ended;
    const answers = listAnswers(received.text);
    t.deepEqual(answers, ['200 a', '200 b', '400 - close']);
  });
}

// A customer that asks for the close and sends more got no answer at all.
test.serial('input behind a last request does not cut it', async t => {
  const {upstream, answer, open} = await startDaemon(t);
  const socket = await open();
  const received = collect(socket);
  socket.write(
    formatRequest('a', 'GET /slow/1', ['connection: close', '', '']),
  );
  await until(() => upstream.runs.includes('a'));
  socket.write(formatRequest('b'));
  await new Promise(resolve => setTimeout(resolve, 50));
  await answer('a');
  await received.ended;
  t.deepEqual(listAnswers(received.text), ['200 a close']);
  t.deepEqual(upstream.runs, ['a']);
});

// Input that arrived after the close reset the connection, which discarded what
// the customer had not received yet.
test.serial('late input does not cut the last answer', async t => {
  const {sidecar, answer, open} = await startDaemon(t);
  const socket = await open();
  let sent = 0;
  let bytes = 0;
  socket.on('error', () => {});
  socket.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    socket.write(formatRequest(`late${sent++}`));
    socket.pause();
    setTimeout(() => socket.resume(), 2);
  });
  const ended = new Promise(resolve => socket.once('close', resolve));
  socket.once('end', () => socket.end());
  socket.write(
    formatRequest('a', 'GET /slow/1', ['connection: close', '', '']),
  );
  await answer('a', 'x'.repeat(LARGE_BYTES));
  await ended;
  t.true(bytes > LARGE_BYTES, `${bytes} bytes`);
  t.is(sidecar.board.counters.get('entry_connections_cut') ?? 0, 0);
});

// The second request was never ended when its customer left.
test.serial('requests end when their customer leaves', async t => {
  const {harness, sidecar, upstream, open} = await startDaemon(t);
  const socket = await open();
  socket.write(formatRequest('a') + formatRequest('b'));
  await until(() => upstream.runs.includes('a'));
  socket.destroy();
  await sidecar.stop();
  const stopped = harness.lines.find(line => line.includes('"stopped"'));
  t.is((JSON.parse(stopped ?? '{}') as {running?: number}).running, 0);
});
