import {type ChildProcess, spawn} from 'node:child_process';
import {
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {Agent, createServer, request, type Server} from 'node:http';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {appendHistory} from '../bench/support/history.js';
import {createFakeStore, type FakeStore} from '../standins/kv_store.js';
import {createDaemonSettings, PORTS} from './daemons.js';
import {NODE_FLAGS} from './program.js';
import {listen} from './proxy.js';
import {startStoreServer} from './store_server.js';

// Measures sidecar processes beside stand-in upstreams, at the request rate of
// one daemon of a large fleet: processor time of the start, at rest, and of the
// requests. Most listed upstreams have no daemon; they only send heartbeats.
// npm run bench:sidecars -- --daemons 6 --listed 196 --rate 11 --seconds 45

const CLOCK_TICKS_PER_S = 100;

/** Interval of the heartbeats of a listed upstream, ms. */
const HEARTBEAT_MS = 1_500;

/** Time that an upstream works on a request, ms. */
const SERVICE_TIME_MS = 40;

/** Size of an answer, bytes. */
const ANSWER_BYTES = 2_000;

const READY_TIMEOUT_MS = 20_000;

/** Data centres of the upstreams without a daemon. */
const OTHER_ZONES = 4;

const {values} = parseArgs({
  options: {
    daemons: {type: 'string', default: '6'},
    listed: {type: 'string', default: '196'},
    rate: {type: 'string', default: '11'},
    seconds: {type: 'string', default: '45'},
    /** Directory for V8 profiles of the daemons. */
    profile: {type: 'string'},
    /** Options of Node, separated by blanks; by default those of the deploy
     * file, for which the code cache is made. */
    node: {type: 'string', default: NODE_FLAGS},
    bundle: {type: 'string', default: 'target/main.cjs'},
  },
});

interface Instance {
  readonly name: string;
  readonly host: string;
  readonly zone: string;
}

interface Usage {
  readonly cpuS: number;
  readonly rssMb: number;
  /** Memory that no other process shares. */
  readonly privateMb: number;
}

function readUsage({pid}: ChildProcess): Usage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const rollup = readFileSync(`/proc/${pid}/smaps_rollup`, 'utf8');
  const readMb = (pattern: RegExp) =>
    [...rollup.matchAll(pattern)].reduce((sum, [, kb]) => sum + Number(kb), 0) /
    1_024;
  return {
    cpuS: ticks / CLOCK_TICKS_PER_S,
    rssMb: readMb(/^Rss:\s+(\d+)/gm),
    privateMb: readMb(/^Private_\w+:\s+(\d+)/gm),
  };
}

function meanOf(numbers: readonly number[]): number {
  return numbers.reduce((sum, n) => sum + n, 0) / numbers.length;
}

function publishConfig(store: FakeStore): void {
  store.put('op/config', {
    version: '00000001',
    routes: ['read', 'book'].map((name, priority) => ({
      name,
      host: 'shop.example',
      path_prefix: `/${name}/`,
      kind: name === 'read' ? 'idempotent' : 'non_idempotent',
      timeout: '2s',
      goal: '500ms',
      priority,
      service: 's',
      attempts: 2,
    })),
    services: ['s', 'idle'].map(name => ({
      name,
      health_path: '/healthz',
      max_conns: 1_000,
      cold: '1s',
      cold_per_s: 50,
    })),
    limits: {
      max_header_bytes: 8_192,
      max_body_bytes: 1_000_000,
      header_timeout: '3s',
      idle_timeout: '10s',
    },
  });
}

/** Starts the heartbeats of an upstream; returns a function that ends them. */
function startHeartbeats(
  store: FakeStore,
  {name, host, zone}: Instance,
  hasDaemon: boolean,
  offsetMs: number,
): () => void {
  const service = hasDaemon ? 's' : 'idle';
  // Daemons ask no other for updates whose upstream leaves.
  const state = hasDaemon ? 'ready' : 'draining';
  let sequence = 0;
  const beat = () =>
    store.put(`servers/${name}`, {
      addr: `${host}:${PORTS.app}`,
      born: 1_000,
      info: {service, version: 'v1', zone, slots: 7},
      status: {state, sequence: ++sequence, cold_left: '0ms'},
    });
  beat();
  let timer: NodeJS.Timeout = setTimeout(() => {
    timer = setInterval(beat, HEARTBEAT_MS);
  }, offsetMs);
  return () => clearInterval(timer);
}

async function startUpstream({name, host}: Instance): Promise<Server> {
  const body = Buffer.alloc(ANSWER_BYTES, 'x');
  const server = createServer((req, res) => {
    if (req.url === '/healthz') {
      res.writeHead(200, {'x-instance-id': name, 'x-cold-ms': '0'}).end();
      return;
    }
    req.resume();
    setTimeout(() => {
      res.writeHead(200, {
        'x-request-id': req.headers['x-request-id'],
        'x-server-stamp': 'signed',
        'content-length': body.length,
      });
      res.end(body);
    }, SERVICE_TIME_MS);
  });
  await listen(server, host, PORTS.app);
  return server;
}

function startDaemon(
  {name, host, zone}: Instance,
  dir: string,
  seeds: string[],
): ChildProcess {
  const settings = createDaemonSettings(name, host, zone, 's', seeds) as {
    self: Record<string, unknown>;
    platform: {platform: {addr: string}};
  };
  settings.self.app_addr = `${host}:${PORTS.app}`;
  settings.platform.platform.addr = storeAddress;
  const file = join(dir, `${name}.json`);
  writeFileSync(file, JSON.stringify(settings));
  const profile = values.profile
    ? ['--cpu-prof', `--cpu-prof-dir=${resolve(values.profile)}`]
    : [];
  const options = [...values.node.split(' ').filter(Boolean), ...profile];
  return spawn(process.execPath, [...options, values.bundle], {
    env: {...process.env, BERYLBEND_NODE_FILE: file},
    stdio: ['ignore', 'ignore', 'inherit'],
  });
}

async function waitUntilReady(host: string): Promise<void> {
  const endAt = performance.now() + READY_TIMEOUT_MS;
  const url = `http://${host}:${PORTS.ready}/api/ready`;
  while (performance.now() < endAt) {
    const status = await fetch(url).then(
      res => res.status,
      () => 0,
    );
    if (status === 200) return;
    await delay(50);
  }
  throw new Error(`${host} is not ready`);
}

const agent = new Agent({keepAlive: true, maxSockets: 16});
const latencies: number[] = [];
const statuses = new Map<number, number>();

function sendRequest(host: string, id: number): void {
  const startedAt = performance.now();
  const finish = (status: number) => {
    statuses.set(status, (statuses.get(status) ?? 0) + 1);
    if (status === 200) {
      latencies.push(performance.now() - startedAt - SERVICE_TIME_MS);
    }
  };
  const req = request(
    {
      host,
      port: PORTS.customer,
      path: `/${id % 3 === 0 ? 'book' : 'read'}/${id}`,
      method: id % 3 === 0 ? 'POST' : 'GET',
      agent,
      headers: {
        host: 'shop.example',
        'x-request-id': `r${id}`,
        'x-deadline-ms': '2000',
      },
    },
    res => {
      res.resume();
      res.on('end', () => finish(res.statusCode ?? 0));
    },
  );
  req.on('error', () => finish(0));
  req.end(id % 3 === 0 ? 'order' : undefined);
}

function percentile(p: number): number {
  const sorted = latencies.toSorted((a, b) => a - b);
  return Math.round((sorted[Math.floor(sorted.length * p)] ?? 0) * 100) / 100;
}

const daemonCount = Number(values.daemons);
const rate = Number(values.rate);
const seconds = Number(values.seconds);
const subnet = `127.${192 + (process.pid % 60)}`;
const instances = Array.from({length: Number(values.listed)}, (_, i) => ({
  name: `u${i}`,
  host: `${subnet}.${1 + Math.floor(i / 200)}.${1 + (i % 200)}`,
  // The daemons share a data centre, where one of them reads the store.
  zone: i < daemonCount ? 'z0' : `z${1 + (i % OTHER_ZONES)}`,
}));
const dir = mkdtempSync(join(tmpdir(), 'berylbend-bench-'));
if (values.profile) mkdirSync(values.profile, {recursive: true});
const store = createFakeStore();
const storeHost = `${subnet}.250.1`;
const storeAddress = `${storeHost}:${PORTS.app}`;
const storeServer = await startStoreServer(
  store,
  storeHost,
  PORTS.app,
  () => 1,
);
publishConfig(store);
const stops = instances.map((instance, i) =>
  startHeartbeats(
    store,
    instance,
    i < daemonCount,
    (i * HEARTBEAT_MS) / instances.length,
  ),
);
const active = instances.slice(0, daemonCount);
const upstreams = await Promise.all(active.map(startUpstream));
const seeds = active.slice(0, 3).map(({host}) => `${host}:${PORTS.control}`);
const daemons = active.map(instance => startDaemon(instance, dir, seeds));
try {
  await Promise.all(active.map(({host}) => waitUntilReady(host)));
  const started = daemons.map(readUsage);
  let sent = 0;
  const sendNext = () => sendRequest(active[sent % daemonCount].host, sent++);
  const timer =
    rate > 0 ? setInterval(sendNext, 1_000 / (rate * daemonCount)) : undefined;
  await delay(seconds * 1_000);
  clearInterval(timer);
  const ended = daemons.map(readUsage);
  const cpuS = ended.map((usage, i) => usage.cpuS - started[i].cpuS);
  const figures = {
    daemons: daemonCount,
    listed: instances.length,
    rate,
    seconds,
    node: values.node,
    startCpuS: meanOf(started.map(usage => usage.cpuS)),
    cpuPercent: (meanOf(cpuS) * 100) / seconds,
    maxCpuPercent: (Math.max(...cpuS) * 100) / seconds,
    rssMb: Math.round(meanOf(ended.map(usage => usage.rssMb))),
    privateMb: Math.round(meanOf(ended.map(usage => usage.privateMb))),
    startPrivateMb: Math.round(meanOf(started.map(usage => usage.privateMb))),
    storeCallsPerS: store.calls / seconds,
    statuses: Object.fromEntries(statuses),
    addedMs: {p50: percentile(0.5), p99: percentile(0.99)},
  };
  process.stdout.write(`${JSON.stringify(figures, null, 2)}\n`);
  if (!values.profile) appendHistory('sidecars', figures);
} finally {
  for (const stop of stops) stop();
  for (const daemon of daemons) daemon.kill('SIGINT');
  await delay(5_500);
  for (const daemon of daemons) daemon.kill('SIGKILL');
  for (const server of upstreams) server.close();
  agent.destroy();
  await storeServer.close();
  rmSync(dir, {recursive: true});
}
process.exit(0);
