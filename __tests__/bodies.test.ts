import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import test from 'ava';
import {answerOk, startHarness, until} from './support/sidecar_harness.js';

const MB = 1_048_576;

/** Memory for bodies: 0.15 of the 128 MB of a daemon of the tests. */
const MEMORY_BYTES = 0.15 * 128 * MB;

/** Bodies that fit one by one, and not all together. */
const BODIES = 5;
const BODY_BYTES = 5 * MB;

const FRAMES = {
  'in chunks': {
    header: 'transfer-encoding: chunked',
    start: `${BODY_BYTES.toString(16)}\r\n`,
  },
  'with a length': {header: `content-length: ${BODY_BYTES + 1}`, start: ''},
};

for (const [kind, {header, start}] of Object.entries(FRAMES)) {
  // Each body was checked against the free memory alone, so that several at once
  // took more than the daemon has.
  test.serial(`bodies ${kind} share the memory`, async t => {
    const harness = await startHarness(t, ['dc1']);
    const [{board}] = harness.sidecars;
    harness.publish({
      limits: {
        max_header_bytes: 4_096,
        max_body_bytes: 64 * MB,
        header_timeout: '3s',
        idle_timeout: '5s',
      },
    });
    await until(() => board.table?.config.limits.bodyBytes === 64 * MB);
    const {host, customerPort} = board.settings;
    const answers: string[] = [];
    const sockets: Socket[] = [];
    for (let i = 0; i < BODIES; i++) {
      const socket = connect(customerPort, host);
      sockets.push(socket);
      t.teardown(() => socket.destroy());
      socket.on('error', () => {});
      socket.on('data', (chunk: Buffer) => answers.push(chunk.toString()));
      await once(socket, 'connect');
      const head = [
        'POST /slow/1 HTTP/1.1',
        'host: shop.example',
        `x-request-id: b${i}`,
        'x-deadline-ms: 5000',
        header,
      ];
      socket.write(`${head.join('\r\n')}\r\n\r\n${start}`);
      // The last byte of each body is missing, so that all are held at once.
      socket.write(Buffer.alloc(BODY_BYTES, 'x'));
    }
    await until(() => answers.length > 0);
    t.true(BODIES * BODY_BYTES > MEMORY_BYTES);
    for (const answer of answers) t.regex(answer, /^HTTP\/1.1 503 /);
    t.true(answers.length < BODIES);
    for (const socket of sockets) socket.destroy();
    await until(() => board.counters.get('entry_cancelled'));
    t.deepEqual(harness.upstreams[0].runs, []);
  });
}

/** Head of a request that another daemon forwards to upstream `u0`. */
function formatForward(id: string, header: string): string {
  const head = [
    'POST /slow/1 HTTP/1.1',
    'host: shop.example',
    `x-request-id: ${id}`,
    'berylbend-terms: u0,slow,0,4000,20000,f',
    header,
  ];
  return `${head.join('\r\n')}\r\n\r\n`;
}

/** Checks that a reply of an owner says that the request has not run. */
function isRefusal(reply: string): boolean {
  return (
    reply.startsWith('HTTP/1.1 503 ') &&
    /\r\nberylbend-verdict: not-run\r\n/i.test(reply) &&
    /\r\nberylbend-reason: full\r\n/i.test(reply) &&
    /\r\nberylbend-load: /i.test(reply)
  );
}

const FORWARD_FRAMES = {
  'in chunks': {...FRAMES['in chunks'], end: 'x\r\n0\r\n\r\n'},
  'with a length': {...FRAMES['with a length'], end: 'x'},
};

for (const [kind, {header, start, end}] of Object.entries(FORWARD_FRAMES)) {
  // Bodies from other daemons were read without a limit: 27 of 8 MB took an owner
  // with a limit of 350 MB to 452 MB.
  test.serial(`forwarded bodies ${kind} share the memory`, async t => {
    t.timeout(20_000);
    const harness = await startHarness(t, ['dc1']);
    const [{board}] = harness.sidecars;
    const [{runs}] = harness.upstreams;
    const {host, peerPort} = board.settings;
    const sockets: Socket[] = [];
    const replies = Array.from({length: BODIES}, () => '');
    const sentBytes = BODY_BYTES - Number(start !== '');
    for (let i = 0; i < BODIES; i++) {
      const socket = connect(peerPort, host);
      sockets.push(socket);
      t.teardown(() => socket.destroy());
      socket.on('data', (chunk: Buffer) => (replies[i] += chunk.toString()));
      await once(socket, 'connect');
      socket.write(`${formatForward(`b${i}`, header)}${start}`);
      // The last byte of each body is missing, so that all are held at once.
      socket.write(Buffer.alloc(sentBytes, 'x'));
    }
    // A body that is read late would find the room of one that has ended.
    await until(() => {
      const held = BODIES - replies.filter(Boolean).length;
      return held < BODIES && board.bodies.usedBytes === held * sentBytes;
    });
    t.true(board.bodies.usedBytes <= MEMORY_BYTES);
    for (const socket of sockets) socket.write(end);
    await until(() => replies.every(Boolean));
    const refused = replies.filter(isRefusal);
    const served = replies.filter(reply => reply.startsWith('HTTP/1.1 200 '));
    t.is(refused.length + served.length, BODIES);
    t.true(refused.length > 0 && served.length > 0);
    t.true(served.length * BODY_BYTES <= MEMORY_BYTES);
    t.is(runs.length, served.length);
    await until(() => board.bodies.usedBytes === 0);
    t.is(board.counters.get('owner_refused_body_memory'), refused.length);
    // The rest of a refused body is not taken for a request.
    for (const [i, socket] of sockets.entries()) {
      if (!isRefusal(replies[i])) continue;
      replies[i] = '';
      socket.write(formatForward(`next${i}`, 'content-length: 0'));
      await until(() => replies[i]);
      t.regex(replies[i], /^HTTP\/1.1 200 /);
    }
  });
}

test.serial('a body larger than the memory is refused at its head', async t => {
  t.timeout(20_000);
  const harness = await startHarness(t, ['dc1']);
  const [{board}] = harness.sidecars;
  const {host, peerPort} = board.settings;
  const socket = connect(peerPort, host);
  t.teardown(() => socket.destroy());
  const length = Math.ceil(MEMORY_BYTES) + 1;
  socket.write(formatForward('large', `content-length: ${length}`));
  const [reply] = (await once(socket, 'data')) as [Buffer];
  t.true(isRefusal(reply.toString()));
  t.deepEqual(harness.upstreams[0].runs, []);
});

// An upstream was given time that the entry no longer had, and its answer came too
// late.
test.serial(
  'the time in which a forwarded body arrives is taken off its deadline',
  async t => {
    const harness = await startHarness(t, ['dc1']);
    const [{board}] = harness.sidecars;
    let deadlineMs = NaN;
    harness.upstreams[0].handle = (req, res) => {
      deadlineMs = Number(req.headers['x-deadline-ms']);
      answerOk(req, res, '');
    };
    const {host, peerPort} = board.settings;
    const socket = connect(peerPort, host);
    t.teardown(() => socket.destroy());
    socket.write(`${formatForward('late', 'content-length: 5')}orde`);
    await until(() => board.bodies.usedBytes === 4);
    const heldFrom = performance.now();
    await delay(300);
    const heldMs = performance.now() - heldFrom;
    socket.write('r');
    await until(() => !Number.isNaN(deadlineMs));
    t.true(deadlineMs <= 20_000 - heldMs, `${deadlineMs} ms`);
    t.true(deadlineMs > 0);
  },
);

// A daemon that is paused or gone ends no connection, and its part of a body kept the
// bodies of others out.
test.serial(
  'a forwarded body that does not end is held until its deadline',
  async t => {
    const harness = await startHarness(t, ['dc1']);
    const [{board}] = harness.sidecars;
    const {host, peerPort} = board.settings;
    const socket = connect(peerPort, host);
    t.teardown(() => socket.destroy());
    let reply = '';
    socket.on('data', (chunk: Buffer) => (reply += chunk.toString()));
    const head = formatForward('stop', `content-length: ${MB}`);
    socket.write(`${head.replace(',20000,', ',500,')}part`);
    await until(() => board.bodies.usedBytes === 4);
    await until(() => reply);
    t.regex(reply, /^HTTP\/1.1 503 /);
    t.regex(reply, /\r\nberylbend-verdict: not-run\r\n/i);
    t.is(board.bodies.usedBytes, 0);
    // The rest is not taken for a request, and the next one is served.
    reply = '';
    socket.write(Buffer.alloc(MB - 4, 'x'));
    socket.write(formatForward('next', 'content-length: 0'));
    await until(() => reply);
    t.regex(reply, /^HTTP\/1.1 200 /);
    t.deepEqual(harness.upstreams[0].runs, ['next']);
  },
);

/** Ends of a forwarded request with a body. */
const BODY_ENDS: Record<string, (socket: Socket) => unknown> = {
  'its connection is closed within the body': socket => socket.destroy(),
  'its connection is reset within the body': socket => socket.resetAndDestroy(),
  'its connection is closed while it runs': socket =>
    socket.write('x', () => setTimeout(() => socket.destroy(), 50)),
  'the upstream breaks off': socket => socket.write('x'),
};

for (const [kind, end] of Object.entries(BODY_ENDS)) {
  // Bytes that are never released would make an owner refuse bodies for good.
  test.serial(`no forwarded body counts once ${kind}`, async t => {
    const harness = await startHarness(t, ['dc1']);
    const [{board}] = harness.sidecars;
    const [upstream] = harness.upstreams;
    upstream.handle = (_req, res) => {
      if (kind === 'the upstream breaks off') res.destroy();
    };
    const {host, peerPort} = board.settings;
    const socket = connect(peerPort, host);
    t.teardown(() => socket.destroy());
    socket.on('error', () => {});
    socket.write(formatForward('a', `content-length: ${BODY_BYTES + 1}`));
    socket.write(Buffer.alloc(BODY_BYTES, 'x'));
    await until(() => board.bodies.usedBytes === BODY_BYTES);
    end(socket);
    await until(() => board.bodies.usedBytes === 0);
    t.is(board.limiter.inFlight, 0);
  });
}

// Bodies of customers that don't read their answers kept others out.
test.serial('a body counts no longer than its request', async t => {
  const harness = await startHarness(t, ['dc1']);
  const [{board}] = harness.sidecars;
  harness.upstreams[0].handle = (req, res) =>
    answerOk(req, res, 'x'.repeat(2 * BODY_BYTES));
  const {host, customerPort} = board.settings;
  const socket = connect(customerPort, host);
  t.teardown(() => socket.destroy());
  const head = formatForward('a', 'content-length: 5').split('\r\n');
  head.splice(3, 1, 'x-deadline-ms: 5000');
  socket.write(`${head.join('\r\n')}order`);
  await until(() => board.counters.get('entry_answered'));
  t.true(board.answers.waitingBytes > 0);
  t.is(board.bodies.usedBytes, 0);
});

// Customers that stop inside a body held the memory for bodies for as long as they
// liked, and all other bodies were refused.
test.serial('a body that does not end is held until its deadline', async t => {
  const harness = await startHarness(t, ['dc1']);
  const [{board}] = harness.sidecars;
  const {host, customerPort} = board.settings;
  const socket = connect(customerPort, host);
  t.teardown(() => socket.destroy());
  let answer = '';
  socket.on('data', (chunk: Buffer) => (answer += chunk.toString()));
  await once(socket, 'connect');
  const head = [
    'POST /slow/1 HTTP/1.1',
    'host: shop.example',
    'x-request-id: b0',
    'x-deadline-ms: 500',
    'content-length: 1000',
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\npart`);
  await until(() => board.bodies.usedBytes === 'part'.length);
  await until(() => answer !== '');
  t.regex(answer, /^HTTP\/1.1 503 /);
  t.regex(answer, /\r\nconnection: close\r\n/i);
  t.is(board.bodies.usedBytes, 0);
  t.deepEqual(harness.upstreams[0].runs, []);
});
/** Bytes of a body that comes in chunks of one byte. */
const SMALL_CHUNKS = 300_000;

// Each chunk took 100 to 200 bytes of the heap, and only its payload was counted.
test.serial(
  'a body in chunks of one byte takes little of the heap',
  async t => {
    t.timeout(30_000);
    const harness = await startHarness(t, ['dc1']);
    const [{board}] = harness.sidecars;
    harness.publish({
      limits: {
        max_header_bytes: 4_096,
        max_body_bytes: MB,
        header_timeout: '3s',
        idle_timeout: '5s',
      },
    });
    await until(() => board.table?.config.limits.bodyBytes === MB);
    const {host, customerPort} = board.settings;
    const socket = connect(customerPort, host);
    t.teardown(() => socket.destroy());
    let reply = '';
    socket.on('data', (chunk: Buffer) => (reply += chunk.toString()));
    const head = [
      'POST /slow/1 HTTP/1.1',
      'host: shop.example',
      'x-request-id: small',
      'x-deadline-ms: 20000',
      'transfer-encoding: chunked',
    ];
    socket.write(`${head.join('\r\n')}\r\n\r\n`);
    setFlagsFromString('--expose-gc');
    const gc = runInNewContext('gc') as () => void;
    const readHeap = () => {
      gc();
      return process.memoryUsage().heapUsed;
    };
    const before = readHeap();
    const chunks = Buffer.from('1\r\nx\r\n'.repeat(SMALL_CHUNKS / 100));
    for (let i = 0; i < 100; i++) {
      if (!socket.write(chunks)) await once(socket, 'drain');
    }
    await until(() => board.bodies.usedBytes === SMALL_CHUNKS);
    const heapBytes = readHeap() - before;
    t.true(heapBytes < 10 * MB, `${heapBytes} bytes`);
    socket.write('0\r\n\r\n');
    await until(() => reply);
    t.regex(reply, /^HTTP\/1.1 200 /);
  },
);
