import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {READ_GRACE_MS, readSource} from '../src/daemon/source.js';

// The timeout of a read fired before the reply in the socket buffer was read,
// and a busy daemon stayed at its old version.
test('a reply that arrived while busy is not lost', async t => {
  const server = createServer((_req, res) => {
    res.end(JSON.stringify({index: 7, entries: []}));
    const endAt = performance.now() + READ_GRACE_MS + 500;
    while (performance.now() < endAt);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const {signal} = new AbortController();
  t.deepEqual(await readSource(url, 6, 100, signal), {index: 7, entries: []});
});
