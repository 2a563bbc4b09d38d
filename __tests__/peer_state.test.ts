import {createServer, type RequestListener} from 'node:http';
import type {AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {createStoreClient} from '../platform/store_client.js';
import {HEADERS} from '../src/internal.js';
import type {SidecarBoard} from '../src/sidecar/board.js';
import {
  createStateClient,
  createStorePeers,
} from '../src/sidecar/peer_state.js';

/** Time for which a test keeps the process busy, ms: above all timeouts. */
const BUSY_MS = 1_500;

/** Wait that the polls of the tests ask for, ms. */
const WAIT_MS = 100;

function keepBusy(): void {
  const endAt = performance.now() + BUSY_MS;
  while (performance.now() < endAt);
}

async function listen(
  t: ExecutionContext,
  handle: RequestListener,
): Promise<string> {
  const server = createServer(handle);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

// Daemons with a busy event loop kept an old configuration for 5 s: the timeout
// of each poll fired before the answer in the socket buffer was read.
test.serial('a peer answer that arrived while busy is not lost', async t => {
  const address = await listen(t, (_req, res) => {
    res.writeHead(204, {[HEADERS.ageMs]: '7'}).end();
    keepBusy();
  });
  const client = createStateClient();
  t.teardown(() => client.close());
  const board = {
    settings: {host: '127.0.0.1', peerPort: 1},
    now: () => performance.now(),
    counters: new Map(),
  } as unknown as SidecarBoard;
  const peers = createStorePeers(board, client);
  const update = await peers.ask(address, 1, WAIT_MS);
  t.is(update?.ageMs, 7);
});

// The same for reads of the store, by which a daemon recovers from lost polls.
test.serial('a store answer that arrived while busy is not lost', async t => {
  const address = await listen(t, (_req, res) => {
    res.end(JSON.stringify({events: [], store_revision: 9}));
    keepBusy();
  });
  const store = createStoreClient(address);
  t.teardown(() => store.close());
  t.deepEqual(await store.watch('', 1, WAIT_MS), {events: [], revision: 9});
});
