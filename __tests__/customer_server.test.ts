import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {serveCustomers} from '../src/daemon/customer_server.js';
import {until} from './support/sidecar_harness.js';

const REQUEST = 'GET / HTTP/1.1\r\nhost: shop.example\r\n\r\n';

/** A server whose requests are answered once the test releases them. */
async function startServer(t: ExecutionContext) {
  const server = createServer();
  const state = {
    read: 0,
    served: 0,
    body: undefined as string | undefined,
    waiting: [] as ServerResponse[],
  };
  server.on('request', () => state.read++);
  serveCustomers(server, {
    handle: (_req, res) => {
      state.served++;
      if (state.body) res.end(state.body);
      else state.waiting.push(res);
    },
    answerError: (_err, socket) => socket.end(),
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const socket = connect(port, '127.0.0.1');
  await once(socket, 'connect');
  t.teardown(() => {
    socket.destroy();
    server.close();
  });
  const release = (body = 'hello') => {
    state.body = body;
    for (const res of state.waiting) res.end(body);
  };
  return {state, socket, release};
}

// One customer could fill the memory of the process with requests that wait.
test('requests that wait on a connection are bounded', async t => {
  const sent = 30_000;
  const {state, socket, release} = await startServer(t);
  socket.resume();
  socket.write(REQUEST.repeat(sent));
  await until(() => state.waiting.length === 1);
  await new Promise(resolve => setTimeout(resolve, 300));
  t.true(state.read < sent / 2, `${state.read} requests were read`);
  release();
  await until(() => state.read === sent);
});

// A request that waited was served though its customer had ended the connection.
test('nothing is served once the customer has ended', async t => {
  const {state, socket, release} = await startServer(t);
  const closed = once(socket, 'close');
  socket.write(REQUEST.repeat(2));
  await until(() => state.read === 2);
  release('x'.repeat(12_000_000));
  socket.end();
  await new Promise(resolve => setTimeout(resolve, 200));
  socket.resume();
  await closed;
  t.is(state.served, 1);
});
