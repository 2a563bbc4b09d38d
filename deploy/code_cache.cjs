'use strict';

// Writes the code cache of the bundle. Two daemons serve some requests in this
// process first, so that the cache holds the functions that a daemon runs and
// not only those that V8 compiles at load time.
const {mkdtempSync, rmSync, writeFileSync} = require('node:fs');
const http = require('node:http');
const {tmpdir} = require('node:os');
const {join} = require('node:path');
const {setTimeout: delay} = require('node:timers/promises');
const {cacheFile, compileBundle, runBundle} = require('../target/main.cjs');

const HOSTS = ['127.0.0.1', '127.0.0.2'];
const READY_TIMEOUT_MS = 20_000;
const REQUESTS = 40;

function encodeItem(key, value, revision) {
  const text = Buffer.from(JSON.stringify(value)).toString('base64');
  return {key, value: text, revision};
}

function createUpstreamEntry(i, port, sequence) {
  return {
    addr: `${HOSTS[i]}:${port}`,
    born: 1_000,
    info: {service: 's', version: 'v1', zone: `z${i}`, slots: 4},
    status: {state: 'ready', sequence, cold_left: '0ms'},
  };
}

const CONFIG = {
  version: '00000001',
  routes: ['idempotent', 'non_idempotent'].map((kind, priority) => ({
    name: kind,
    host: 'warm.example',
    path_prefix: `/${priority}/`,
    kind,
    timeout: '2s',
    goal: '500ms',
    priority,
    service: 's',
    attempts: 2,
  })),
  services: [
    {
      name: 's',
      health_path: '/healthz',
      max_conns: 100,
      cold: '1s',
      cold_per_s: 100,
    },
  ],
  limits: {
    max_header_bytes: 8_192,
    max_body_bytes: 100_000,
    header_timeout: '3s',
    idle_timeout: '10s',
  },
};

/** Serves the two listed upstreams and one configuration. */
function serveStore(upstreamPort) {
  let revision = 10;
  const list = () => [
    encodeItem('op/config', CONFIG, 5),
    ...HOSTS.map((_, i) =>
      encodeItem(
        `servers/u${i}`,
        createUpstreamEntry(i, upstreamPort, revision),
        revision,
      ),
    ),
  ];
  return async (req, res) => {
    const isWatch = req.url.startsWith('/api/kv-watch');
    if (isWatch) await delay(100);
    revision++;
    res.end(
      JSON.stringify({
        items: list(),
        events: list().slice(1),
        has_more: false,
        store_revision: revision,
      }),
    );
  };
}

function serveUpstream(req, res) {
  if (req.url === '/healthz') {
    const id = `u${HOSTS.indexOf(req.socket.localAddress)}`;
    res.writeHead(200, {'x-instance-id': id, 'x-cold-ms': '0'}).end();
    return;
  }
  req.resume();
  // A refusal now and then runs the path of a second attempt.
  const refused = Number(req.headers['x-request-id']) % 7 === 0;
  setTimeout(() => {
    const headers = {'x-request-id': req.headers['x-request-id']};
    if (refused) res.writeHead(503, {...headers, 'x-not-run': '1'}).end();
    else res.writeHead(200, {...headers, 'x-server-stamp': 's'}).end('answer');
  }, 5);
}

function listen(server, host, port) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server.address().port));
  });
}

async function findPorts(count) {
  const servers = Array.from({length: count}, () => http.createServer());
  const ports = await Promise.all(
    servers.map(server => listen(server, '0.0.0.0', 0)),
  );
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports;
}

function createSettings(i, ports, storePort) {
  const [outbound, inbound, ready, control, app] = ports;
  const at = port => `${HOSTS[i]}:${port}`;
  return {
    self: {
      node: `d${i}`,
      ip: HOSTS[i],
      zone: `z${i}`,
      service: 's',
      app_addr: at(app),
      limits: {memory_mb: 350},
    },
    network: {
      listen: {
        outbound: at(outbound),
        inbound: at(inbound),
        ready: at(ready),
        control: at(control),
      },
      seeds: [],
    },
    platform: {platform: {addr: `${HOSTS[0]}:${storePort}`}},
    terms: {
      bounds: {
        grace: '6s',
        budget_ratio: 0.2,
        budget_slack: 20,
        budget_window: '10s',
      },
    },
  };
}

function request(options, body) {
  return new Promise(resolve => {
    const req = http.request(options, res => {
      res.resume();
      res.on('end', () => resolve(res.statusCode));
      res.on('error', () => resolve(0));
    });
    req.on('error', () => resolve(0));
    req.end(body);
  });
}

async function main() {
  const ports = await findPorts(5);
  const [outbound, , ready, , app] = ports;
  for (const host of HOSTS) {
    await listen(http.createServer(serveUpstream), host, app);
  }
  const storePort = await listen(
    http.createServer(serveStore(app)),
    HOSTS[0],
    0,
  );
  const dir = mkdtempSync(join(tmpdir(), 'berylbend-build-'));
  const script = compileBundle();
  for (const i of HOSTS.keys()) {
    const file = join(dir, `${i}.json`);
    writeFileSync(file, JSON.stringify(createSettings(i, ports, storePort)));
    process.env.BERYLBEND_NODE_FILE = file;
    runBundle(script);
  }
  const endAt = performance.now() + READY_TIMEOUT_MS;
  for (const host of HOSTS) {
    const options = {host, port: ready, path: '/api/ready'};
    while ((await request(options)) !== 200) {
      if (performance.now() > endAt) throw new Error('daemons are not ready');
      await delay(50);
    }
  }
  const agent = new http.Agent({keepAlive: true});
  for (let i = 0; i < REQUESTS; i++) {
    const options = {
      host: HOSTS[i % HOSTS.length],
      port: outbound,
      path: `/${i % 2}/${i}`,
      method: i % 2 === 0 ? 'GET' : 'POST',
      agent,
      headers: {
        host: 'warm.example',
        'x-request-id': String(i),
        'x-deadline-ms': '2000',
      },
    };
    await Promise.all([request(options, 'x'), request(options, 'y')]);
  }
  writeFileSync(cacheFile, script.createCachedData());
  rmSync(dir, {recursive: true});
}

main().then(
  () => process.exit(0),
  err => {
    process.stderr.write(`${err.stack}\n`);
    process.exit(1);
  },
);
