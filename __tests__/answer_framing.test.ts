import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {
  startHarness,
  until,
  type HarnessUpstream,
} from './support/sidecar_harness.js';

// How a customer can tell a whole answer from one that was cut on the way, when
// the upstream states no length.

/** More than the buffers of a connection hold. */
const LARGE_BODY = Buffer.alloc(12_000_000, 'x');

const VERSIONS = ['1.0', '1.1'];

/** Answers without a length; the end of the connection ends the body. */
function answerWith(status: number, body: Buffer): HarnessUpstream['handle'] {
  return (req, res) => {
    res.useChunkedEncodingByDefault = false;
    res.writeHead(status, {
      'x-request-id': req.headers['x-request-id'],
      'x-server-stamp': 'signed',
      connection: 'close',
    });
    res.end(body);
  };
}

interface Received {
  head: string;
  body: Buffer;
  /** True when the message has its end by the rules of HTTP/1.1. */
  whole: boolean;
}

/** Reads what a connection received as the answer to a request. */
function parseReceived(chunks: readonly Buffer[], method: string): Received {
  const bytes = Buffer.concat(chunks);
  const headEnd = bytes.indexOf('\r\n\r\n');
  const head = bytes.subarray(0, headEnd).toString('latin1').toLowerCase();
  const body = bytes.subarray(headEnd + 4);
  const length = /^content-length: (\d+)/m.exec(head)?.[1];
  const isChunked = head.includes('transfer-encoding: chunked');
  const isWhole = () => {
    if (method === 'HEAD' || / (204|304) /.test(head)) return true;
    if (isChunked) return body.toString('latin1').endsWith('0\r\n\r\n');
    // Without either, the end of the connection is the end of the body.
    return length === undefined || body.length === Number(length);
  };
  return {head, body, whole: headEnd > 0 && isWhole()};
}

/** Sends one request on a connection of its own, which the customer ends only
 * once all has come. */
async function open(
  t: ExecutionContext,
  {host, customerPort}: {host: string; customerPort: number},
  version: string,
  method = 'GET',
) {
  const socket = connect(customerPort, host);
  t.teardown(() => socket.destroy());
  const chunks: Buffer[] = [];
  socket.on('error', () => {});
  socket.pause();
  socket.write(
    `${method} /slow/1 HTTP/${version}\r\nhost: shop.example\r\n` +
      'x-request-id: a\r\nx-deadline-ms: 5000\r\n\r\n',
  );
  const ended = new Promise<void>(resolve => {
    socket.once('end', resolve);
    socket.once('close', resolve);
  });
  socket.on('data', (chunk: Buffer) => chunks.push(chunk));
  socket.pause();
  const read = () => parseReceived(chunks, method);
  return {socket, ended, read};
}

const PLACES: Record<string, {owner: number}> = {
  'its own upstream': {owner: 0},
  'the upstream of another daemon': {owner: 1},
};

for (const version of VERSIONS) {
  for (const [place, {owner}] of Object.entries(PLACES)) {
    // The daemon was killed while it wrote the answer: the kernel ended the
    // connection in order, and a part of the body passed for all of it.
    test.serial(
      `HTTP/${version}: a daemon that ends shows a cut answer of ${place}`,
      async t => {
        const harness = await startHarness(t, ['dc1', 'dc1']);
        const [entry] = harness.sidecars;
        const {id} = harness.upstreams[owner];
        for (const upstream of harness.upstreams) {
          upstream.handle = answerWith(200, LARGE_BODY);
          if (upstream.id !== id) {
            harness.store.remove(`servers/${upstream.id}`);
          }
        }
        await until(() => entry.board.list.byId.size === 1);
        const {settings, answers} = entry.board;
        const {socket, ended, read} = await open(t, settings, version);
        await until(() => answers.waiting.size === 1);
        await once(socket, 'readable');
        await entry.close();
        socket.resume();
        await ended;
        const {head, body, whole} = read();
        t.regex(head, / 200 /);
        t.true(body.length > 0 && body.length < LARGE_BODY.length);
        t.false(whole, head);
      },
    );
  }
}

// The owner was killed instead: its part of the answer must not look whole at the
// entry, which would give it an end of its own.
test.serial('an owner that ends within an answer makes no success', async t => {
  const harness = await startHarness(t, ['dc1']);
  const [{board}] = harness.sidecars;
  await harness.addPeer(t, 'dc1', (req, res) => {
    // Probes.
    if (req.method !== 'POST') return void res.writeHead(204).end();
    res.writeHead(200, {
      'x-request-id': req.headers['x-request-id'],
      'x-server-stamp': 'signed',
      'content-length': 100,
      'berylbend-load': '1,0,8,5,0,0',
      'berylbend-unframed': '1',
    });
    res.write('half');
    setTimeout(() => (res.socket as Socket).end(), 20);
  });
  await until(() => board.list.byId.has('peer'));
  harness.store.remove('servers/u0');
  await until(() => !board.list.byId.has('u0'));
  const {status} = await harness.send(0, {path: '/book/1', method: 'POST'});
  t.is(status, 502);
});

const WHOLE: Record<
  string,
  {status: number; method: string; body: string; length?: string}
> = {
  'a success': {status: 200, method: 'GET', body: 'hello', length: '5'},
  'an empty success': {status: 200, method: 'GET', body: '', length: '0'},
  'an error': {status: 400, method: 'GET', body: 'no', length: '2'},
  'an answer to HEAD': {status: 200, method: 'HEAD', body: ''},
  'an answer without a body': {status: 204, method: 'GET', body: ''},
};

for (const version of VERSIONS) {
  for (const [kind, {status, method, body, length}] of Object.entries(WHOLE)) {
    // The length is that of the body; where there is no body, a length would be
    // a claim about another answer.
    for (const [place, {owner}] of Object.entries(PLACES)) {
      const title = `HTTP/${version}: ${kind} without a length of ${place}`;
      test.serial(title, async t => {
        const harness = await startHarness(t, ['dc1', 'dc1']);
        const [{board}] = harness.sidecars;
        const upstream = harness.upstreams[owner];
        upstream.handle = answerWith(status, Buffer.from(body));
        harness.store.remove(`servers/${harness.upstreams[1 - owner].id}`);
        await until(() => board.list.byId.size === 1);
        const {socket, read} = await open(t, board.settings, version, method);
        socket.resume();
        await until(() => board.counters.get('entry_answered'));
        await until(() => read().whole);
        const received = read();
        t.is(received.body.toString(), body);
        t.deepEqual(upstream.runs, ['a']);
        const stated = /^content-length: (\d+)/m.exec(received.head)?.[1];
        t.is(stated, length);
        t.false(received.head.includes('transfer-encoding'));
      });
    }
  }
}
