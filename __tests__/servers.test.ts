import {type Server, createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {createMetrics, renderMetrics} from '../src/daemon/metrics.js';
import {closePort, openPort, REPORT_MS} from '../src/sidecar/ports.js';

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

/** Returns a server whose first attempts to listen fail with an error code. */
function createFailingServer(code: string, failures: number) {
  const server = createServer();
  const listen = server.listen.bind(server) as (...args: unknown[]) => unknown;
  let left = failures;
  const fail = (): void => {
    process.nextTick(() => {
      server.emit('error', Object.assign(new Error(code), {code}));
    });
  };
  server.listen = ((...args: unknown[]) => {
    if (left-- > 0) fail();
    else listen(...args);
    return server;
  }) as typeof server.listen;
  return server;
}

// A start ended when its address was assigned a moment later.
test('an address that is not assigned yet is waited for', async t => {
  const server = createFailingServer('EADDRNOTAVAIL', 2);
  t.teardown(() => closePort(server));
  const codes: string[] = [];
  await openPort(server, 0, HOST, {onWait: code => codes.push(code)});
  t.true(server.listening);
  t.deepEqual(codes, ['EADDRNOTAVAIL']);
});

// An address of another machine never comes: only a signal ends the wait, and the
// first error must be told.
test('the wait for a port names the error and can be ended', async t => {
  const abort = new AbortController();
  const opened = openPort(createServer(), 0, '192.0.2.1', {
    signal: abort.signal,
    onWait: (code, waitedMs) => {
      t.is(code, 'EADDRNOTAVAIL');
      t.true(waitedMs < REPORT_MS);
      abort.abort();
    },
  });
  await t.throwsAsync(opened, {name: 'AbortError'});
  t.plan(3);
});

// Waiting does not help a process that may not bind the port; its next start
// reads the settings again.
test('a port that may not be bound is an error at once', async t => {
  const opened = openPort(createFailingServer('EACCES', 1), 1, HOST);
  await t.throwsAsync(opened, {code: 'EACCES'});
});

// The page of the metrics is needed by no request and must not end a start.
test('a port in the background is tried again after each error', async t => {
  const server = createFailingServer('EACCES', 1);
  t.teardown(() => closePort(server));
  await openPort(server, 0, HOST, {background: true});
  t.true(server.listening);
});

// Each attempt left a listener; Node warned of a leak after eleven.
test('attempts to bind a port leave no listeners', async t => {
  const holder = createServer();
  await openPort(holder, 0, HOST);
  const {port} = holder.address() as AddressInfo;
  const server = createServer();
  t.teardown(() => closePort(server));
  const countListeners = () =>
    server.listenerCount('listening') + server.listenerCount('error');
  const before = countListeners();
  const counts: number[] = [];
  const listen = server.listen.bind(server) as (...args: unknown[]) => Server;
  server.listen = ((...args: unknown[]) => {
    counts.push(countListeners());
    if (counts.length === 12) void closePort(holder);
    return listen(...args);
  }) as typeof server.listen;
  await openPort(server, port, HOST);
  t.true(counts.length >= 12);
  t.deepEqual(new Set(counts), new Set([before]));
});

// An error of the system while a connection is accepted had no listener and ended
// the process.
test('an open port survives a connection that is not accepted', async t => {
  const server = createServer();
  t.teardown(() => closePort(server));
  const codes: string[] = [];
  await openPort(server, 0, HOST, {onAcceptError: code => codes.push(code)});
  const err = Object.assign(new Error('accept'), {code: 'ENOBUFS'});
  t.notThrows(() => server.emit('error', err));
  t.deepEqual(codes, ['ENOBUFS']);
  t.true(server.listening);
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
