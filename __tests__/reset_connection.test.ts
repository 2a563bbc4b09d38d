import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
import test from 'ava';
import {resetConnection} from '../standins/reset_connection.js';

// Node fails to reset a connection while its end is being sent and never closes
// the handle; a test process then hung at its exit.
test('a connection that was ended can be reset', async t => {
  const server = createServer(socket => {
    socket.on('error', err => t.fail(err.message));
    socket.end();
    process.nextTick(() => resetConnection(socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const socket = connect(port, '127.0.0.1').resume();
  await once(socket, 'close');
  await new Promise(resolve => server.close(resolve));
  t.pass();
});
