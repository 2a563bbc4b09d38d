import net from 'node:net';
import test from 'ava';
import FakeTimers from '@sinonjs/fake-timers';
import {KEYS_PATH} from '../src/internal.js';
import {MAX_BODY_BYTES} from '../src/daemon/http.js';
import {
  call,
  createDocument,
  setDocument,
  startEntry,
  startOwner,
  until,
  type Run,
} from './support/owner_fake.js';

async function startHarness(fields = {}) {
  const ledger: Run[] = [];
  const owner = await startOwner(ledger, {id: 'u1', ...fields});
  const entry = await startEntry([owner.record]);
  const stop = async () => {
    await entry.stop();
    await owner.stop();
  };
  return {ledger, owner, entry, stop};
}

/** Sends raw bytes and returns all received bytes until the close. */
function sendRaw(port: number, bytes: string): Promise<string> {
  return new Promise(resolve => {
    const socket = net.connect(port, '127.0.0.1', () => socket.write(bytes));
    let text = '';
    socket.on('data', chunk => (text += chunk.toString('latin1')));
    socket.on('error', () => {});
    socket.on('close', () => resolve(text));
  });
}

const HOST = 'host: x\r\n';
const POST = `POST /book HTTP/1.1\r\n${HOST}`;

const RAW_REQUESTS: Array<[string, string, RegExp]> = [
  ['input that is not HTTP', 'hello\r\n\r\n', /^HTTP\/1\.1 400 /],
  [
    'two lengths',
    `${POST}content-length: 1\r\ncontent-length: 2\r\n\r\nab`,
    /^HTTP\/1\.1 400 /,
  ],
  [
    'length and chunks',
    `${POST}content-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`,
    /^HTTP\/1\.1 400 /,
  ],
  ['a bad length', `${POST}content-length: -1\r\n\r\n`, /^HTTP\/1\.1 400 /],
  ['a bad header name', `${POST}b ad: 1\r\n\r\n`, /^HTTP\/1\.1 400 /],
  [
    'headers above 16 KB',
    `${POST}x: ${'y'.repeat(20_000)}\r\n\r\n`,
    /^HTTP\/1\.1 431 /,
  ],
  // The head of the request was valid, so only closing shows the fault.
  ['a bad chunk', `${POST}transfer-encoding: chunked\r\n\r\nzz\r\n\r\n`, /^$/],
];

for (const [name, bytes, expected] of RAW_REQUESTS) {
  test(`${name} on one connection is refused and affects no other`, async t => {
    const {entry, ledger, stop} = await startHarness();
    const other = call(entry.port, 'GET', '/read', {headers: {'x-label': 'a'}});
    const text = await sendRaw(entry.port, bytes);
    t.regex(text, expected);
    if (text) t.regex(text, /berylbend-verdict: not-run/);
    t.is((await other).body, 'answer to a');
    t.deepEqual(ledger, [{label: 'a', upstream: 'u1'}]);
    await stop();
  });
}

const BAD_REQUESTS: Array<
  [string, string, string, Record<string, string>, string]
> = [
  ['an unknown route', 'GET', '/other', {}, '404 unknown-route'],
  ['an unknown method', 'DELETE', '/read', {}, '404 unknown-route'],
  ['a dot segment', 'GET', '/read/%2e%2e/book', {}, '400 bad-request'],
  [
    'a bad deadline',
    'GET',
    '/read',
    {'berylbend-deadline-ms': 'soon'},
    '400 bad-request',
  ],
  [
    'a deadline that has passed',
    'GET',
    '/read',
    {'berylbend-deadline-ms': '0'},
    '504 deadline-before-send',
  ],
  ['a bad depth', 'GET', '/read', {'berylbend-depth': 'x'}, '400 bad-request'],
  ['a seventh hop', 'GET', '/read', {'berylbend-depth': '7'}, '508 too-deep'],
  [
    'a bad budget',
    'GET',
    '/read',
    {'berylbend-budget': '-'},
    '400 bad-request',
  ],
  ['a bad key', 'POST', '/book', {'idempotency-key': 'a, b'}, '400 bad-key'],
  [
    'a forged bound key',
    'POST',
    '/book',
    {'idempotency-key': 'bk1~u1~b~forged'},
    '400 bad-key',
  ],
  [
    'headers above the limit',
    'GET',
    '/read',
    {x: 'y'.repeat(13_000)},
    '413 too-large',
  ],
];

for (const [name, method, path, headers, expected] of BAD_REQUESTS) {
  test(`${name} is refused as not run with a clear reason`, async t => {
    const {entry, owner, stop} = await startHarness();
    const reply = await call(entry.port, method, path, {headers});
    t.is(`${reply.status} ${reply.reason}`, expected);
    t.is(reply.verdict, 'not-run');
    t.is(owner.seen.length, 0);
    const [event] = entry.board.timeline.events;
    t.is(event.kind, 'refused');
    t.is(event.detail.request, String(reply.headers['berylbend-id']));
    t.is(event.detail.reason, reply.reason);
    await stop();
  });
}

for (const chunked of [false, true]) {
  test(`a body above 1 MB is refused, chunked: ${chunked}`, async t => {
    const {entry, owner, stop} = await startHarness();
    const body = 'x'.repeat(MAX_BODY_BYTES + 1);
    const headers: Record<string, string> = chunked
      ? {'transfer-encoding': 'chunked'}
      : {'content-length': String(body.length)};
    const reply = await call(entry.port, 'POST', '/book', {body, headers});
    t.is(`${reply.status} ${reply.verdict}`, '413 not-run');
    const accepted = await call(entry.port, 'POST', '/book', {
      body: body.slice(1),
      headers: {'x-label': 'fits'},
    });
    t.is(accepted.body, 'answer to fits');
    t.is(owner.seen[0].body.length, MAX_BODY_BYTES);
    await stop();
  });
}

test('hop-by-hop headers and forged internal headers are not forwarded', async t => {
  const {entry, owner, stop} = await startHarness();
  await call(entry.port, 'GET', '/read?a=%20b', {
    headers: {
      connection: 'close, x-hop',
      'x-hop': '1',
      te: 'trailers',
      expect: '100-continue',
      'berylbend-id': 'forged',
      'berylbend-auth': 'forged',
      'berylbend-route': 'forged',
      'berylbend-depth': '2',
      'berylbend-budget': '1',
      'x-label': 'kept',
    },
  });
  const [{headers, target}] = owner.seen;
  t.is(target, '/forward/read?a=%20b');
  t.is(headers['x-hop'], undefined);
  t.is(headers.te, undefined);
  t.is(headers['berylbend-route'], 'read');
  t.is(headers['berylbend-depth'], '2');
  t.is(headers['berylbend-budget'], '1');
  t.is(headers['berylbend-version'], '1');
  t.regex(String(headers['berylbend-id']), /^entry-00000000-/);
  t.is(headers['x-label'], 'kept');
  await stop();
});

test('no configuration, a stale view and no upstream are refusals', async t => {
  const {entry, ledger, stop} = await startHarness();
  const read = async () => (await call(entry.port, 'GET', '/read')).reason;
  entry.board.viewStale = true;
  t.is(await read(), 'stale-view');
  entry.board.viewStale = false;
  // A request that is read before the first tick after a pause.
  entry.board.members.lastTickAt = entry.now - 10_000;
  t.is(await read(), 'stale-view');
  entry.board.viewStale = false;
  entry.board.config.inForce = undefined;
  t.is(await read(), 'no-config');
  setDocument(entry.board, 1, createDocument(['dc-a']));
  t.is(await read(), 'no-upstream');
  t.is((await call(entry.port, 'GET', '/idle')).reason, 'no-upstream');
  t.is(ledger.length, 0);
  await stop();
});

test('an unbound key is refused with a bound key to use instead', async t => {
  const {entry, owner, stop} = await startHarness();
  const unbound = {'idempotency-key': 'mine-1'};
  const reply = await call(entry.port, 'POST', '/book', {headers: unbound});
  t.is(`${reply.status} ${reply.reason}`, '409 key-not-bound');
  const key = String(reply.headers['idempotency-key']);
  const headers = {'idempotency-key': key, 'x-label': 'a'};
  const again = await call(entry.port, 'POST', '/book', {headers});
  t.is(again.body, 'answer to a');
  t.is(owner.seen[0].headers['idempotency-key'], key);
  // A read needs no key, and its owner accepts only bound ones.
  t.is(
    (await call(entry.port, 'GET', '/read', {headers: unbound})).status,
    200,
  );
  t.is(owner.seen[1].headers['idempotency-key'], undefined);
  await stop();
});

test('keys are minted for known routes of services with a process', async t => {
  const {entry, owner, stop} = await startHarness();
  const mint = (query: string, method = 'POST') =>
    call(entry.port, method, `${KEYS_PATH}?${query}`);
  const reply = await mint('path=/book/1&method=POST');
  t.is(reply.status, 201);
  t.is(JSON.parse(reply.body).key, reply.headers['idempotency-key']);
  t.is((await mint('path=/none&method=POST')).reason, 'unknown-route');
  t.is((await mint('method=POST')).reason, 'bad-request');
  t.is((await mint('path=/book', 'GET')).reason, 'bad-request');
  owner.record.boot = '';
  t.is((await mint('path=/book')).reason, 'no-upstream');
  await stop();
});

test('refusals above a rate are counted and do not flood the time line', async t => {
  const {entry, stop} = await startHarness();
  for (let i = 0; i < 25; i++) await call(entry.port, 'GET', '/other');
  t.is(entry.board.timeline.events.length, 20);
  t.is(entry.board.counters.get('entry_refusals_not_recorded'), 5);
  entry.now = 1_000;
  await call(entry.port, 'GET', '/other');
  t.is(entry.board.timeline.events.length, 21);
  await stop();
});

// A request that had waited for the answer before it was given its whole time
// again.
test('the wait for earlier answers counts towards the deadline', async t => {
  const {entry, owner, stop} = await startHarness();
  let release = () => {};
  owner.step =
    ({headers}) =>
    res => {
      const id = String(headers['berylbend-id']);
      res.writeHead(200, {'berylbend-id': id, 'berylbend-verdict': 'ran'});
      release = () => res.end();
    };
  const read = `GET /read HTTP/1.1\r\n${HOST}`;
  const deadline = 'berylbend-deadline-ms: 50\r\nconnection: close\r\n';
  const text = sendRaw(entry.port, `${read}\r\n${read}${deadline}\r\n`);
  await until(() => owner.seen.length > 0);
  await new Promise(resolve => setTimeout(resolve, 100));
  release();
  t.regex(await text, /^HTTP\/1\.1 200 [^]*HTTP\/1\.1 504 [^]*before-send/);
  t.is(owner.seen.length, 1);
  await stop();
});

test.serial('a customer who sends a body too slowly is refused', async t => {
  const {entry, owner, stop} = await startHarness();
  const clock = FakeTimers.install({toFake: ['setTimeout', 'clearTimeout']});
  const reply = sendRaw(
    entry.port,
    `${POST}content-length: 10\r\nconnection: close\r\n\r\nabc`,
  );
  await until(() => entry.entry.countRunning() > 0);
  clock.tick(10_000);
  t.regex(await reply, /^HTTP\/1\.1 504 [^]*deadline-before-send/);
  clock.uninstall();
  t.is(owner.seen.length, 0);
  await stop();
});
