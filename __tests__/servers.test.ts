import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {createMetrics, renderMetrics} from '../src/daemon/metrics.js';
import {closePort, openPort} from '../src/sidecar/servers.js';

const HOST = '127.0.0.1';

// A daemon whose port was still held, as by a connection of another process,
// ended at its start.
test('a port that is in use for a moment is waited for', async t => {
  const holder = createServer();
  await openPort(holder, 0, HOST);
  const {port} = holder.address() as AddressInfo;
  const server = createServer();
  t.teardown(() => closePort(server));
  const opened = openPort(server, port, HOST);
  await new Promise(resolve => setTimeout(resolve, 150));
  t.false(server.listening);
  await closePort(holder);
  await opened;
  t.is((server.address() as AddressInfo).port, port);
});

test('an address of another machine is an error at once', async t => {
  const opened = openPort(createServer(), 0, '192.0.2.1');
  await t.throwsAsync(opened, {code: 'EADDRNOTAVAIL'});
});

// The users' reader of the page keeps its first 4 KB, which the counters of a few
// routes had filled: no age of a copy was seen in an incident.
test('the metrics page begins with the state of the daemon', async t => {
  const counters = new Map(
    Array.from({length: 100}, (_, i) => [`route_${i}`, i]),
  );
  const gauges = {store_copy_age_ms: 7};
  const text = await renderMetrics({counters}, createMetrics(), gauges);
  t.true(text.indexOf('berylbend_store_copy_age_ms 7') < 200);
});
