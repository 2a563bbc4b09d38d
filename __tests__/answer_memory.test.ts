import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {predictAnswerBytes} from '../src/sidecar/answer_budget.js';
import {resetConnection} from '../standins/reset_connection.js';
import {
  type HarnessUpstream,
  answerOk,
  startHarness,
  until,
} from './support/sidecar_harness.js';

/** Memory for answers: 0.35 of the 128 MB of a daemon of the tests. */
const LIMIT_BYTES = 0.35 * 128 * 1_048_576;

/** Size of a large answer, bytes; the buffers of a connection hold less. */
const LARGE_BYTES = 10_000_000;

/** Clients that read nothing; their answers exceed the memory. */
const STALLED_CLIENTS = 6;

/** Deadline of a client that reads nothing, ms. */
const DEADLINE_MS = 1_000;

const LARGE_BODY = 'x'.repeat(LARGE_BYTES);

function answerLarge(upstream: HarnessUpstream): void {
  upstream.handle = (req, res) => answerOk(req, res, LARGE_BODY);
}

function formatRequest(id: string, headers: readonly string[] = []): string {
  const lines = [
    'GET /slow/1 HTTP/1.1',
    'host: shop.example',
    `x-request-id: ${id}`,
    `x-deadline-ms: ${DEADLINE_MS}`,
    ...headers,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

/** Headers of a request that another daemon forwards to upstream `u0`. */
const FORWARD_HEADERS = [`berylbend-terms: u0,slow,0,500,${DEADLINE_MS},f`];

async function open(
  t: ExecutionContext,
  host: string,
  port: number,
): Promise<Socket> {
  const socket = connect(port, host);
  t.teardown(() => socket.destroy());
  socket.on('error', () => {});
  await once(socket, 'connect');
  return socket;
}

/** Counts the bytes after the head until the connection ends. */
async function countBody(
  socket: Socket,
  onChunk: () => void = () => {},
): Promise<number> {
  let head = '';
  let bytes = 0;
  socket.on('data', (chunk: Buffer) => {
    onChunk();
    bytes += chunk.length;
    if (head.includes('\r\n\r\n')) return;
    head += chunk.toString('latin1');
    const end = head.indexOf('\r\n\r\n');
    if (end >= 0) bytes -= end + 4;
  });
  await once(socket, 'close');
  return bytes;
}

/** Sends requests, one after the other, on connections that read no more than the
 * head of the answer. */
async function stallClients(
  t: ExecutionContext,
  host: string,
  port: number,
  headers: readonly string[] = [],
): Promise<void> {
  for (let i = 0; i < STALLED_CLIENTS; i++) {
    const socket = await open(t, host, port);
    socket.write(formatRequest(`stalled${i}`, headers));
    await once(socket, 'readable');
  }
}

// Answers counted only until they had come in. 3,500 clients that read nothing
// took a daemon with a limit of 350 MB to 506 MB.
test.serial('answers that customers do not read are bounded', async t => {
  const harness = await startHarness(t, ['dc1']);
  const [{board}] = harness.sidecars;
  const [upstream] = harness.upstreams;
  answerLarge(upstream);
  const {host, customerPort} = board.settings;
  await stallClients(t, host, customerPort);
  const answered = board.counters.get('entry_answered') ?? 0;
  t.true(answered * LARGE_BYTES <= LIMIT_BYTES, `${answered} answers`);
  t.is(board.counters.get('entry_refused_memory'), STALLED_CLIENTS - answered);
  t.is(upstream.runs.length, answered);
  t.is(board.answers.waitingBytes, answered * LARGE_BYTES);
  const refused = await harness.send(0, {id: 'refused', path: '/slow/1'});
  t.is(refused.status, 503);
  t.regex(String(refused.headers['retry-after']), /^\d\.\d{3}$/);
  t.false(upstream.runs.includes('refused'));
  // Nobody waits for the stalled answers after the deadline.
  Object.assign(board.answers, {stalledMs: 2 * DEADLINE_MS});
  let status = 503;
  while (status === 503) {
    ({status} = await harness.send(0, {path: '/slow/1', deadlineMs: 5_000}));
  }
  t.is(status, 200);
  t.is(board.counters.get('answers_dropped_stalled'), 1);
  t.true(harness.lines.some(line => line.includes('"answersShort"')));
  t.is(board.counters.get('answers_dropped_largest'), undefined);
});

// A customer that is slow must get its answer, however late, while others that
// read nothing are cut off to make room.
test.serial('a slow customer that reads keeps its late answer', async t => {
  const harness = await startHarness(t, ['dc1']);
  const [{board}] = harness.sidecars;
  answerLarge(harness.upstreams[0]);
  const {host, customerPort} = board.settings;
  const socket = await open(t, host, customerPort);
  socket.write(formatRequest('slow', ['connection: close']));
  await until(() => board.counters.get('entry_answered'));
  let reading = true;
  const counted = countBody(socket, () => {
    socket.pause();
    setTimeout(() => socket.resume(), 50);
  }).finally(() => (reading = false));
  await stallClients(t, host, customerPort);
  while (reading) {
    await harness.send(0, {path: '/slow/1', deadlineMs: 500});
    await new Promise(resolve => setTimeout(resolve, 50));
  }
  t.is(await counted, LARGE_BYTES);
  t.true((board.counters.get('answers_dropped_stalled') ?? 0) > 0);
});

const LINKS = {'at once': 1e12, 'in pieces': 100e6};

for (const [kind, linkBytesPerS] of Object.entries(LINKS)) {
  // The same at the owner of an upstream: 299 MB with answers of 1.5 MB.
  test.serial(`replies that go out ${kind} are bounded`, async t => {
    const harness = await startHarness(t, ['dc1'], {linkBytesPerS});
    const [{board}] = harness.sidecars;
    const [upstream] = harness.upstreams;
    answerLarge(upstream);
    const {host, peerPort} = board.settings;
    const read = (name: string) => board.counters.get(name) ?? 0;
    await stallClients(t, host, peerPort, FORWARD_HEADERS);
    const runs = upstream.runs.length;
    t.true(runs * LARGE_BYTES <= LIMIT_BYTES, `${runs} runs`);
    t.true(read('owner_refused_memory') > 0);
    const send = async (id: string) => {
      const socket = await open(t, host, peerPort);
      let text = '';
      socket.on('data', (chunk: Buffer) => {
        if (text.length < 1_000) text += chunk.toString('latin1');
      });
      socket.write(
        formatRequest(id, [...FORWARD_HEADERS, 'connection: close']),
      );
      await once(socket, 'close');
      return text;
    };
    const refusal = await send('refused');
    t.regex(refusal, /^HTTP\/1.1 503 /);
    t.regex(refusal, /\r\nberylbend-verdict: not-run\r\n/i);
    t.regex(refusal, /\r\nberylbend-reason: full\r\n/i);
    t.regex(refusal, /\r\nberylbend-load: /i);
    t.false(upstream.runs.includes('refused'));
    Object.assign(board.answers, {stalledMs: 2 * DEADLINE_MS});
    let reply = refusal;
    for (let i = 0; reply.startsWith('HTTP/1.1 503'); i++) {
      reply = await send(`later${i}`);
    }
    t.regex(reply, /^HTTP\/1.1 200 /);
    t.true(read('answers_dropped_stalled') > 0);
  });
}

// A refusal promises that the request has not run.
test.serial('no refusal for memory follows a run', async t => {
  const harness = await startHarness(t, ['dc1', 'dc1']);
  const [{board}] = harness.sidecars;
  for (const upstream of harness.upstreams) {
    upstream.handle = (_req, res) => {
      board.answers.usedBytes = board.answers.limitBytes;
      resetConnection(res.socket!);
    };
  }
  const {status} = await harness.send(0, {path: '/slow/1'});
  t.is(status, 502);
  t.is(board.counters.get('entry_refused_memory'), 1);
  t.is(harness.upstreams.flatMap(({runs}) => runs).length, 1);
});

// What was queued ran and its answer was broken off.
test.serial('a queued request does not start without memory', async t => {
  const harness = await startHarness(t, ['dc1']);
  const [{board}] = harness.sidecars;
  const {limiter, answers} = board;
  limiter.inFlight = limiter.slots;
  const answer = harness.send(0, {path: '/slow/1', deadlineMs: 4_000});
  await until(() => limiter.queue.length === 1);
  answers.usedBytes = answers.limitBytes;
  limiter.inFlight = 0;
  harness.publish();
  t.is((await answer).status, 503);
  t.deepEqual(harness.upstreams[0].runs, []);
  t.is(board.counters.get('owner_refused_memory'), 1);
});

type Handle = HarnessUpstream['handle'];

const broken: Handle = (req, res) => {
  res.writeHead(200, {
    'x-request-id': req.headers['x-request-id'],
    'x-server-stamp': 'signed',
    'content-length': 100,
  });
  res.write('partial');
  setTimeout(() => resetConnection(res.socket!), 20);
};

const failing: Handle = (req, res) => {
  const headers = {'x-request-id': req.headers['x-request-id']};
  res.writeHead(500, headers).end('failed');
};

const unframed: Handle = (req, res) => {
  res.useChunkedEncodingByDefault = false;
  res.writeHead(200, {
    'x-request-id': req.headers['x-request-id'],
    'x-server-stamp': 'signed',
    connection: 'close',
  });
  res.end(LARGE_BODY);
};

const bodiless =
  (status: number): Handle =>
  (req, res) =>
    res
      .writeHead(status, {
        'x-request-id': req.headers['x-request-id'],
        'x-server-stamp': 'signed',
      })
      .end();

let failures = 0;
const failingOnce: Handle = (req, res) =>
  (failures++ === 0 ? failing : answerOk)(req, res);

interface End {
  handle: Handle;
  method?: string;
  path?: string;
  deadlineMs?: number;
  /** Closes the customer's connection at the head of the answer, or before. */
  leaves?: 'early' | 'late';
}

const large: Handle = (req, res) => answerOk(req, res, LARGE_BODY);

const ENDS: Record<string, End> = {
  'a small answer': {handle: answerOk},
  'a large answer': {handle: large},
  'an answer to HEAD': {handle: bodiless(200), method: 'HEAD'},
  'an answer without a body': {handle: bodiless(204)},
  'an answer that refers to a cache': {handle: bodiless(304)},
  'an answer without a length': {handle: unframed},
  'an error answer': {handle: failing, path: '/book/1'},
  'an error answer that is sent again': {handle: failing},
  'an answer after an error answer': {handle: failingOnce},
  'a broken answer': {handle: broken},
  'an answer to another request': {
    handle: (_req, res) => res.writeHead(200, {'x-request-id': 'x'}).end('x'),
  },
  'a refusal of the upstream': {handle: bodiless(421)},
  'no answer in time': {handle: () => {}, deadlineMs: 100},
  'a customer that leaves before the answer': {
    handle: (req, res) => void setTimeout(answerOk, 50, req, res),
    leaves: 'early',
  },
  'a customer that leaves within the answer': {handle: large, leaves: 'late'},
};

for (const [kind, end] of Object.entries(ENDS)) {
  // A byte that is never released would make a daemon refuse requests for good.
  test.serial(`no answer counts after ${kind}`, async t => {
    failures = 0;
    const harness = await startHarness(t, ['dc1', 'dc1'], {
      linkBytesPerS: 100e6,
    });
    for (const upstream of harness.upstreams) upstream.handle = end.handle;
    const {leaves, path = '/slow/1', method = 'GET', deadlineMs = 3_000} = end;
    const runs = () => harness.upstreams.flatMap(({runs}) => runs).length;
    const board = harness.sidecars[0].board;
    const {host, customerPort} = board.settings;
    for (let i = 0; i < 8; i++) {
      if (!leaves) {
        await harness.send(0, {path, method, deadlineMs});
        continue;
      }
      const socket = await open(t, host, customerPort);
      const before = runs();
      socket.write(formatRequest(`leaves${i}`));
      await (leaves === 'late'
        ? once(socket, 'readable')
        : until(() => runs() > before));
      resetConnection(socket);
    }
    t.true(runs() > 0);
    for (const {board} of harness.sidecars) {
      const {answers} = board;
      await until(() => answers.usedBytes === 0);
      await until(() => answers.expectedBytes === 0);
      t.is(answers.waitingBytes, 0);
      t.is(answers.waiting.size, 0);
      t.is(answers.answers.size, 0);
    }
  });
}

// The refusals of an owner counted as answers without a body, so that the room
// that is set aside for a route vanished just when memory was short.
test.serial('refusals do not lower the expected size of answers', async t => {
  const harness = await startHarness(t, ['dc1']);
  const [{board}] = harness.sidecars;
  const [own] = harness.upstreams;
  const size = 10_000;
  own.handle = (req, res) => answerOk(req, res, 'x'.repeat(size));
  await harness.send(0, {path: '/book/1', method: 'POST'});
  t.is(predictAnswerBytes(board.answers, 'book'), size);
  harness.store.remove('servers/u0');
  const refused: string[] = [];
  await harness.addPeer(t, 'dc1', (req, res) => {
    refused.push(String(req.headers['x-request-id']));
    const verdict = {'berylbend-verdict': 'not-run', 'content-length': 0};
    res.writeHead(503, {...verdict, 'berylbend-reason': 'full'}).end();
  });
  await until(() => board.list.byId.has('peer') && !board.list.byId.has('u0'));
  while (refused.length < 3) {
    await harness.send(0, {path: '/book/1', method: 'POST'});
  }
  t.is(predictAnswerBytes(board.answers, 'book'), size);
});
