import FakeTimers from '@sinonjs/fake-timers';
import test, {type ExecutionContext} from 'ava';
import {fetch} from 'undici';
import {createConfigService} from '../standins/config_service.js';
import {
  createConfigCommands,
  createControlPort,
} from '../standins/control_port.js';
import {createInstanceList} from '../standins/instance_list.js';
import {createFaultProxy} from '../standins/fault_proxy.js';
import {createSeries} from '../standins/series.js';
import {isCompleteDownload} from '../standins/download.js';
import {createUpstream, type UpstreamOptions} from '../standins/upstream.js';

// The stand-ins' timers and clock reads are faked; sockets are real.
const clock = FakeTimers.install({
  toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'],
});
test.after.always(() => clock.uninstall());

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let turn = 0; !condition(); turn++) {
    if (turn > 2_000_000) throw new Error('condition was not met in time');
    await new Promise(resolve => setImmediate(resolve));
  }
}

async function startUpstream(
  t: ExecutionContext,
  options: Partial<UpstreamOptions> = {},
) {
  const upstream = createUpstream({
    id: 'u1',
    slots: 4,
    connectionCostMs: 0,
    ...options,
  });
  t.teardown(upstream.close);
  const url = await upstream.listen();
  return {upstream, url};
}

test.serial(
  'a pending watch counts as one call and ends on publish',
  async t => {
    const service = createConfigService();
    t.teardown(service.close);
    const url = await service.listen();
    const watch = fetch(`${url}/v1/entries?after=0&waitMs=2000`);
    await waitUntil(() => service.counts.waiting === 1);
    service.publish('snapshot', {a: 1});
    t.deepEqual(await (await watch).json(), {
      index: 1,
      entries: [{index: 1, prev: 0, kind: 'snapshot', value: {a: 1}}],
    });
    t.is(service.counts.calls, 1);
  },
);

test.serial('calls over the rate limit get status 429', async t => {
  const service = createConfigService({callsPerSecond: 2});
  t.teardown(service.close);
  const url = await service.listen();
  const read = async () => (await fetch(`${url}/v1/entries`)).status;
  t.deepEqual([await read(), await read(), await read()], [200, 200, 429]);
  clock.tick(1_000);
  t.is(await read(), 200);
  service.setMode({kind: 'down', how: 'reset'});
  await t.throwsAsync(read);
});

test('stale and backwards modes hide entries; values have a size limit', t => {
  const series = createSeries({indexStep: 3});
  series.publish('patch', 1);
  series.publish('patch', 2);
  series.setMode({kind: 'stale', index: 3});
  t.is(series.read(0).index, 3);
  series.setMode({kind: 'backwards', by: 1});
  t.deepEqual([series.read(0).index, series.read(0).index].sort(), [3, 6]);
  t.throws(() => series.publish('patch', 'x'.repeat(1_000_000)));
  t.is(series.index(), 6);
});

test.serial(
  'a change to the instance list becomes visible after the lag',
  t => {
    const list = createInstanceList({lagMs: 5_000});
    const record = {
      id: 'u1',
      incarnation: 9,
      boot: '',
      dataCentre: 'dc1',
      region: 'r1',
      service: 's1',
      host: '127.0.0.1',
      customerPort: 1,
      peerPort: 2,
      state: 'live' as const,
    };
    list.register(record);
    t.deepEqual(list.read(), []);
    clock.tick(5_000);
    t.deepEqual(list.read(), [{...record, incarnation: 0}]);
    list.markLeaving('u1');
    list.remove('u1');
    t.is(list.read()[0].state, 'live');
    clock.tick(5_000);
    t.deepEqual(list.read(), []);
  },
);

test.serial('a shed request is not recorded in the ledger', async t => {
  const {upstream, url} = await startUpstream(t, {cold: {warmAfterRuns: 0}});
  const running = [1, 2, 3, 4].map(n => fetch(`${url}/x?op=${n}`));
  await waitUntil(() => upstream.load().running === 4);
  const shed = await fetch(`${url}/x?op=5`);
  t.is(shed.status, 503);
  t.is(shed.headers.get('berylbend-shed'), 'not-run');
  clock.tick(20);
  for (const res of running) t.is((await res).status, 200);
  t.deepEqual(upstream.ledger.runs.map(run => run.operation).sort(), [
    '1',
    '2',
    '3',
    '4',
  ]);
});

test.serial(
  'a cold upstream crashes under full load and restarts cold',
  async t => {
    const {upstream, url} = await startUpstream(t, {restartMs: 1_000});
    const all = [1, 2, 3, 4, 5].map(n =>
      fetch(`${url}/x?op=${n}`).catch(() => undefined),
    );
    await waitUntil(() => upstream.counts.fallOvers === 1);
    await Promise.all(all);
    t.true(upstream.ledger.runs.every(run => run.outcome === 'crashed'));
    await t.throwsAsync(fetch(`${url}/x`));
    clock.tick(1_000);
    await waitUntil(() => upstream.isUp());
    t.true(upstream.load().cold);
  },
);

test.serial('a crashing request also breaks concurrent requests', async t => {
  const {upstream, url} = await startUpstream(t);
  const concurrent = fetch(`${url}/x?op=1`);
  await waitUntil(() => upstream.load().running === 1);
  await t.throwsAsync(fetch(`${url}/x?op=2`, {headers: {'x-crash': '1'}}));
  await t.throwsAsync(concurrent);
  t.is(upstream.counts.crashes, 1);
  t.is(upstream.ledger.findByOperation('2')[0].outcome, 'crashed');
  await upstream.restart();
  t.is((await fetch(`${url}/health`)).status, 503);
  clock.tick(500);
  t.is((await fetch(`${url}/health`)).status, 200);
});

test.serial(
  'deadlines and cancellation end a run and free its slot',
  async t => {
    const {upstream, url} = await startUpstream(t);
    const expired = fetch(`${url}/x?op=1&serviceMs=500`, {
      headers: {'berylbend-deadline-ms': '100'},
    });
    await waitUntil(() => upstream.load().running === 1);
    clock.tick(100);
    t.is((await expired).status, 504);
    const abort = new AbortController();
    const cancelled = fetch(`${url}/x?op=2`, {signal: abort.signal});
    await waitUntil(() => upstream.load().running === 1);
    abort.abort();
    await t.throwsAsync(cancelled, {any: true});
    await waitUntil(() => upstream.load().running === 0);
    const outcomes = upstream.ledger.runs.map(run => run.outcome);
    t.deepEqual(outcomes, ['deadline', 'cancelled']);
  },
);

test.serial('a download is complete, or fails after a crash', async t => {
  const {upstream, url} = await startUpstream(t);
  const ticking = setInterval(() => clock.tick(10), 1);
  const res = await fetch(`${url}/x?bytes=200000&chunkMs=10&serviceMs=0`);
  t.true(isCompleteDownload(new Uint8Array(await res.arrayBuffer()), 200_000));
  const broken = await fetch(`${url}/x?bytes=200000&chunkMs=10&serviceMs=0`);
  await upstream.crash();
  await t.throwsAsync(broken.arrayBuffer());
  clearInterval(ticking);
});

test.serial('a stalled upstream responds only after its release', async t => {
  const {upstream, url} = await startUpstream(t);
  upstream.stall();
  let answered = false;
  const res = fetch(`${url}/x`).then(r => {
    answered = true;
    return r.status;
  });
  await waitUntil(() => upstream.load().running === 1);
  clock.tick(60_000);
  await new Promise(resolve => setImmediate(resolve));
  t.false(answered);
  upstream.stall(false);
  t.is(await res, 200);
});

test.serial('the fault proxy cuts, delays and heals connections', async t => {
  const {url} = await startUpstream(t, {serviceMs: 0});
  const targetPort = Number(new URL(url).port);
  const proxy = createFaultProxy({targetPort, delayMs: 5});
  t.teardown(proxy.close);
  const via = `http://127.0.0.1:${await proxy.listen()}`;
  const ticking = setInterval(() => clock.tick(5), 1);
  t.is((await fetch(`${via}/x`)).status, 200);
  proxy.cut();
  await t.throwsAsync(fetch(`${via}/x`));
  proxy.heal();
  t.is((await fetch(`${via}/x`)).status, 200);
  clearInterval(ticking);
});

test.serial(
  'the control port rejects unknown and malformed commands',
  async t => {
    const service = createConfigService();
    t.teardown(service.close);
    const port = createControlPort(createConfigCommands(service));
    t.teardown(port.close);
    const url = await port.listen();
    const send = async (body: string) =>
      (await fetch(`${url}/control`, {method: 'POST', body})).status;
    t.is(await send('{"command":"publish","kind":"patch","value":1}'), 200);
    t.is(service.series.index(), 1);
    t.is(await send('{"command":"erase"}'), 400);
    t.is(await send('{"command":"mode","mode":{"kind":"gone"}}'), 400);
    t.is(await send('not json'), 400);
  },
);
