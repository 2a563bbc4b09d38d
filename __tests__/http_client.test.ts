import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {createAnswerBudget} from '../src/sidecar/answer_budget.js';
import {createHttpClient, WITHDRAWN} from '../src/sidecar/http_client.js';

const OPTIONS = {connections: 1, connectTimeoutMs: 200, keepAliveMs: 100};

const BAD_ORIGINS = {
  'padded octets': 'http://010.001.000.008:8301',
  'a port out of range': 'http://127.0.0.1:99999',
  'no host': 'http://',
};

for (const [kind, origin] of Object.entries(BAD_ORIGINS)) {
  // The call threw in a timer or a loop, which ended the process.
  test(`a request to an address with ${kind} ends as unsent`, async t => {
    const client = createHttpClient(OPTIONS);
    t.teardown(() => client.close());
    const request = {method: 'GET', path: '/', headers: [], body: undefined};
    const {result} = client.send(origin, request, 0);
    t.is((await result).kind, 'unsent');
  });
}

/** Limit of the memory for answers in the test, bytes. */
const LIMIT_BYTES = 4_000_000;

/** Calls that get an answer without end at the same time. */
const ENDLESS_CALLS = 6;

const ENDLESS_ANSWERS: Record<string, (res: ServerResponse) => void> = {
  'in chunks': res => res.writeHead(200),
  'with a length': res => res.writeHead(200, {'content-length': 1e12}),
  'without a length': res => {
    res.useChunkedEncodingByDefault = false;
    res.writeHead(200, {connection: 'close'});
  },
};

function writeEndlessly(res: ServerResponse): void {
  const chunk = Buffer.alloc(65_536, 'x');
  const write = () => {
    while (!res.destroyed && res.write(chunk));
  };
  res.on('drain', write);
  write();
}

for (const [kind, begin] of Object.entries(ENDLESS_ANSWERS)) {
  // A faulty upstream sent a body without end on several connections: the daemon
  // ran out of memory, and the requests of all its customers ended with it.
  test(`answers ${kind} without end stay within the memory`, async t => {
    const server = createServer((req, res) => {
      if (req.url === '/small') return void setTimeout(() => res.end('ok'), 50);
      begin(res);
      writeEndlessly(res);
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const budget = createAnswerBudget(LIMIT_BYTES);
    const client = createHttpClient({...OPTIONS, connections: 20, budget});
    t.teardown(async () => {
      await client.close();
      server.closeAllConnections();
      server.close();
    });
    const send = (path: string) => {
      const request = {method: 'GET', path, headers: [], body: undefined};
      return client.send(`http://127.0.0.1:${port}`, request, 0).result;
    };
    let peakBytes = 0;
    const sample = () => (peakBytes = Math.max(peakBytes, budget.usedBytes));
    const timer = setInterval(sample, 1);
    t.teardown(() => clearInterval(timer));
    const endless = Array.from({length: ENDLESS_CALLS}, () => send('/endless'));
    t.is((await send('/small')).kind, 'answer');
    for (const result of await Promise.all(endless)) {
      t.deepEqual(result, {kind: 'broken', code: 'ANSWER_TOO_LARGE'});
    }
    t.true(peakBytes > 0 && peakBytes <= LIMIT_BYTES, `${peakBytes} bytes`);
    t.is(budget.usedBytes, 0);
  });
}

// A head without end was kept until the daemon ran out of memory.
test('an answer whose head does not end is broken off', async t => {
  const server = createServer((_req, res) => {
    res.socket?.write('HTTP/1.1 200 OK\r\nx-long: ');
    const timer = setInterval(() => res.socket?.write('x'.repeat(65_536)), 1);
    res.socket?.once('close', () => clearInterval(timer));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const client = createHttpClient(OPTIONS);
  t.teardown(async () => {
    await client.close();
    server.closeAllConnections();
    server.close();
  });
  const request = {method: 'GET', path: '/', headers: [], body: undefined};
  const call = client.send(`http://127.0.0.1:${port}`, request, 0);
  t.like(await call.result, {kind: 'broken'});
});

// The owner withdraws a request whose upstream has left while the connection was
// being opened; those that wait for the same connection must not end with it.
test('a call that is withdrawn writes nothing and ends no other', async t => {
  const paths: unknown[] = [];
  const server = createServer((req, res) => {
    paths.push(req.url);
    setTimeout(() => res.end('ok'), 20);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const client = createHttpClient(OPTIONS);
  t.teardown(async () => {
    await client.close();
    server.closeAllConnections();
    server.close();
  });
  const send = (path: string) => {
    const beforeWrite = () => !path.startsWith('/withdrawn');
    const request = {method: 'GET', headers: [], body: undefined};
    const call = {...request, path, beforeWrite};
    return client.send(`http://127.0.0.1:${port}`, call, 0).result;
  };
  const sent = ['/withdrawn/1', '/1', '/withdrawn/2', '/2'].map(send);
  const results = await Promise.all(sent);
  t.deepEqual(paths, ['/1', '/2']);
  t.deepEqual(
    results.map(result => ('code' in result ? result.code : result.kind)),
    [WITHDRAWN, 'answer', WITHDRAWN, 'answer'],
  );
});
