import {execFile} from 'node:child_process';
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import {computeDigest, type TimelineEvent} from '../src/internal.js';
import {drawTimeline} from '../src/cli/timeline_svg.js';
import {formatStatus} from '../src/cli/commands/status.js';
import {formatEvent} from '../src/cli/commands/timeline.js';

const dir = mkdtempSync(join(tmpdir(), 'berylbend-cli-'));

const DOCUMENT = {
  dataCentres: {
    north: {region: 'main', state: 'in'},
    south: {region: 'main', state: 'in'},
  },
  services: {
    orders: {
      slots: 4,
      connections: 10,
      dataCentres: ['north', 'south'],
      downloadShare: 0.5,
      expectedMs: 50,
    },
  },
  routes: {
    orders: {
      pathPrefix: '/orders',
      methods: ['GET'],
      service: 'orders',
      idempotent: true,
      priority: 'read',
      timeoutMs: 1_000,
    },
  },
};

interface Result {
  code: number;
  out: string;
  err: string;
}

function run(...args: string[]): Promise<Result> {
  return new Promise(resolve => {
    execFile('node', ['bin/berylbend.js', ...args], (err, out, stderr) => {
      const code = err ? Number(err.code) : 0;
      resolve({code, out, err: stderr.replaceAll(dir, 'DIR')});
    });
  });
}

function save(name: string, value: unknown): string {
  const file = join(dir, name);
  writeFileSync(file, JSON.stringify(value));
  return file;
}

const base = save('base.json', {
  version: 7,
  digest: computeDigest(DOCUMENT),
  document: DOCUMENT,
});

test('a route to a missing service is refused with its path', async t => {
  const routes = {orders: {...DOCUMENT.routes.orders, service: 'stock'}};
  const bad = await run(
    'config',
    'check',
    save('bad.json', {...DOCUMENT, routes}),
  );
  t.is(bad.code, 1);
  t.snapshot(bad.err);
  const good = await run('config', 'check', save('good.json', DOCUMENT));
  t.is(good.code, 0);
});

test('a missing file gives a clear error and exit code 2', async t => {
  const result = await run('config', 'check', join(dir, 'none.yaml'));
  t.is(result.code, 2);
  t.snapshot(result.err);
});

test('a patch is accepted on its base version only', async t => {
  const out = join(dir, 'patch.json');
  const made = await run(
    'dc',
    'take-out',
    'north',
    '--base',
    base,
    '--out',
    out,
  );
  t.is(made.code, 0, made.err);
  const patch = JSON.parse(readFileSync(out, 'utf8')) as {
    value: {ops: unknown};
  };
  t.snapshot(patch.value.ops);
  const checked = await run('patch', 'check', out, '--base', base);
  t.is(checked.code, 0, checked.err);
  const other = save('other.json', {
    version: 8,
    digest: computeDigest(DOCUMENT),
    document: DOCUMENT,
  });
  const refused = await run('patch', 'check', out, '--base', other);
  t.is(refused.code, 1);
  t.snapshot(refused.err);
});

test('taking out a data centre twice or an unknown one is refused', async t => {
  const unknown = await run('dc', 'take-out', 'west', '--base', base);
  t.is(unknown.code, 1);
  t.snapshot(unknown.err);
  const already = await run('dc', 'bring-back', 'north', '--base', base);
  t.is(already.code, 1);
  t.snapshot(already.err);
});

test('an unreachable daemon gives exit code 3', async t => {
  const result = await run('status', '--from', 'http://127.0.0.1:9');
  t.is(result.code, 3);
  t.snapshot(result.err);
});

const EVENT: TimelineEvent = {
  hlc: [1_000, 0],
  wallMs: 1_000,
  monoMs: 5,
  id: 'orders-1',
  incarnation: 1,
  kind: 'refused',
  detail: {request: 'r<1>', reason: 'full'},
};

test('a request id is escaped in the SVG', t => {
  t.false(drawTimeline([EVENT]).includes('r<1>'));
  t.snapshot(
    drawTimeline([EVENT, {...EVENT, id: 'orders-2', hlc: [1_500, 0]}]),
  );
  t.snapshot(formatEvent(EVENT));
});

test('the status shows refusals, marks and moved data centres', t => {
  const lines = formatStatus({
    id: 'orders-1',
    dataCentre: 'north',
    service: 'orders',
    boot: '0123456789abcdef',
    incarnation: 1,
    state: 'live',
    version: {version: 3, digest: 'a'.repeat(32), index: 9, confirmed: false},
    dataCentres: {north: 'out'},
    viewStale: true,
    sourceAgeMs: -1,
    refusals: [{index: 9, author: 'ann', base: 2, reason: 'base 2 is old'}],
    links: ['orders-2'],
    members: {north: {live: ['orders-1'], suspect: ['orders-2']}},
    upstream: {limit: 1, inFlight: 1, queued: 0, cold: true, stalled: true},
    counters: {},
  });
  t.snapshot(lines);
});
