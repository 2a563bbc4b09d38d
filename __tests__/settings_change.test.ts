import {renameSync, writeFileSync} from 'node:fs';
import {createServer, type Server} from 'node:http';
import {join} from 'node:path';
import test, {type ExecutionContext} from 'ava';
import {followSettings} from '../platform/settings.js';
import {sendRequest} from '../soak/customers.js';
import {createDaemonSettings, PORTS} from '../soak/daemons.js';
import {startStoreServer} from '../soak/store_server.js';
import {createFakeStore} from '../standins/kv_store.js';
import {answerOk, until} from './support/sidecar_harness.js';
import {
  createDirectory,
  MAIN_FILE,
  startProcess,
} from './support/daemon_process.js';

// The settings file changes without a signal.

let nextHostNumber = 1;

function createHost(): string {
  return `127.82.${(process.pid >> 1) & 127}.${nextHostNumber++}`;
}

function formatSettings(host: string, service: string): string {
  return JSON.stringify(createDaemonSettings('d0', host, 'z1', service, []));
}

function listen(t: ExecutionContext, server: Server, host: string) {
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return new Promise<void>(resolve =>
    server.listen(PORTS.appProxy, host, resolve),
  );
}

/** Starts a daemon of the service `old` whose upstream notes the callers. */
async function startDaemon(t: ExecutionContext) {
  const host = createHost();
  const store = createFakeStore();
  const callers = new Map<unknown, unknown>();
  const upstream = createServer((req, res) => {
    if (req.url === '/healthz') {
      res.writeHead(200, {'x-instance-id': 'u0'}).end();
      return;
    }
    callers.set(req.headers['x-request-id'], req.headers['x-caller']);
    answerOk(req, res);
  });
  await listen(t, upstream, host);
  const storeServer = await startStoreServer(
    store,
    host,
    PORTS.storeProxy,
    Math.random,
  );
  t.teardown(() => storeServer.close());
  store.put('servers/u0', {
    addr: `${host}:${PORTS.appProxy}`,
    born: 1_000,
    info: {service: 'target', version: 'v1', zone: 'z1', slots: 8},
    status: {state: 'ready', sequence: 1, cold_left: '0ms'},
  });
  const route = {
    ...{name: 'read', host: 'shop.example', path_prefix: '/read/'},
    ...{kind: 'idempotent', service: 'target', attempts: 2, priority: 1},
    ...{timeout: '900ms', goal: '300ms'},
  };
  const service = {
    ...{name: 'target', health_path: '/healthz', max_conns: 100},
    ...{cold: '2s', cold_per_s: 20},
  };
  store.put('op/config', {
    ...{version: '00000001', routes: [route], services: [service]},
    limits: {
      ...{max_header_bytes: 16_384, max_body_bytes: 1_000_000},
      ...{header_timeout: '3s', idle_timeout: '15s'},
    },
  });
  const file = join(createDirectory(t), 'node.json');
  writeFileSync(file, formatSettings(host, 'old'));
  const daemon = startProcess(t, [MAIN_FILE], file);
  let count = 0;
  // Resolves to the caller of a request that was sent now; on a busy machine one may
  // miss its deadline.
  const send = async (): Promise<unknown> => {
    for (;;) {
      const id = `r${++count}`;
      const at = {host} as Parameters<typeof sendRequest>[0];
      const request = {id, path: '/read/1', body: ''};
      const {status} = await sendRequest(at, false, request);
      if (status === 200) return callers.get(id);
    }
  };
  await daemon.waitForLine('upstreamUp');
  t.is(await send(), 'old');
  return {...daemon, host, file, send};
}

const WRITES: Record<string, (file: string, text: string) => void> = {
  'in place': writeFileSync,
  'by another file': (file, text) => {
    writeFileSync(`${file}.new`, text);
    renameSync(`${file}.new`, file);
  },
};

for (const [way, write] of Object.entries(WRITES)) {
  // Requests bore the old caller for up to 2 s, until the next look at the file.
  test(`the next request bears a service that was set ${way}`, async t => {
    const {host, file, send, lines} = await startDaemon(t);
    for (const service of ['new', 'old', 'last']) {
      write(file, formatSettings(host, service));
      t.is(await send(), service);
    }
    await until(
      () => lines.filter(({decision}) => decision === 'reloaded').length === 3,
    );
  });
}

// A file that is being written is seen more often than before; its old settings must
// stay in use, and the log must not get one line a request.
test('requests bear the old service while the file is not whole', async t => {
  const {host, file, send, lines} = await startDaemon(t);
  const whole = formatSettings(host, 'new');
  for (const text of ['', whole.slice(0, whole.length / 2), 'null']) {
    writeFileSync(file, text);
    for (let i = 0; i < 5; i++) t.is(await send(), 'old');
  }
  writeFileSync(file, whole);
  t.is(await send(), 'new');
  const decisions = () => lines.map(({decision}) => decision);
  await until(() => decisions().includes('reloaded'));
  t.is(decisions().filter(name => name === 'reloadFailed').length, 3);
  t.is(decisions().filter(name => name === 'reloaded').length, 1);
});

// The times of files have steps of some milliseconds: two writes in one step that
// leave the size as it was can't be told apart by them.
test('two changes in quick succession are both noticed', t => {
  const file = join(createDirectory(t), 'node.json');
  const text = (service: string): string =>
    formatSettings('127.0.0.1', service);
  writeFileSync(file, text('s0'));
  const seen: unknown[] = [];
  const {checkIfChanged, stop} = followSettings(file, text('s0'), change => {
    seen.push(change.ok && change.settings.sidecar.service);
  });
  t.teardown(stop);
  const expected: string[] = [];
  for (let i = 1; i < 100; i++) {
    const service = `s${i % 10}`;
    expected.push(service);
    writeFileSync(file, text(service));
    checkIfChanged();
  }
  t.deepEqual(seen, expected);
});
