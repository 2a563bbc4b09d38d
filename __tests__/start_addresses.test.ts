import {createServer} from 'node:http';
import {
  type AddressInfo,
  connect,
  createServer as createNetServer,
} from 'node:net';
import test from 'ava';
import {openPort} from '../src/sidecar/ports.js';

/** Time for which a connection of another program stays open, ms. */
const HELD_MS = 6_500;

/** Timeout of the test with that connection, ms. */
const TIMEOUT_MS = 60_000;

// A port above 32767 may be that of an outgoing connection of any program on the
// instance, for as long as that is open and a minute longer. The start ended.
test('a start outlasts a connection that has its port', async t => {
  t.timeout(TIMEOUT_MS);
  const other = createNetServer();
  await new Promise<void>(resolve => other.listen(0, '127.0.0.1', resolve));
  t.teardown(() => other.close());
  const {port: otherPort} = other.address() as AddressInfo;
  const socket = connect(otherPort, '127.0.0.1');
  t.teardown(() => socket.destroy());
  const accepted = new Promise<void>(resolve => {
    other.once('connection', peer => {
      // The side that ends first keeps its port for a minute.
      setTimeout(() => peer.end(), HELD_MS);
      peer.resume();
      resolve();
    });
  });
  await accepted;
  const {localPort} = socket;
  t.truthy(localPort);
  const server = createServer();
  t.teardown(() => server.close());
  await t.notThrowsAsync(openPort(server, localPort as number, '127.0.0.1'));
  t.true(server.listening);
});

// The address of an instance may be set up after the daemon is started. The start
// ended at once, with EADDRNOTAVAIL.
test('a start waits for the address of its instance', async t => {
  const server = createServer();
  t.teardown(() => server.close());
  const listen = server.listen.bind(server) as (...args: unknown[]) => unknown;
  let attempts = 0;
  const listenLater = (...args: unknown[]): unknown => {
    if (++attempts > 3) return listen(...args);
    const err = new Error('listen EADDRNOTAVAIL');
    Object.assign(err, {code: 'EADDRNOTAVAIL'});
    process.nextTick(() => server.emit('error', err));
    return server;
  };
  Object.assign(server, {listen: listenLater});
  await t.notThrowsAsync(openPort(server, 0, '127.0.0.1'));
  t.is(attempts, 4);
});
