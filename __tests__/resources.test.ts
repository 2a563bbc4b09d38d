import {connect} from 'node:net';
import {once} from 'node:events';
import test from 'ava';
import {startHarness, until} from './support/sidecar_harness.js';

/** Part of the metrics page that its readers keep, bytes. */
const PAGE_BYTES = 4_096;

// No figure told what held the memory of a process that was ended for it.
test.serial(
  'the metrics page tells memory, connections and bodies',
  async t => {
    const harness = await startHarness(t, ['dc1']);
    const {settings} = harness.sidecars[0].board;
    const read = async () => {
      const url = `http://${settings.host}:${settings.metricsPort}/metrics`;
      const text = await (await fetch(url)).text();
      const readGauge = (name: string) => {
        const match = new RegExp(`^berylbend_${name} (.*)$`, 'm').exec(text);
        return Number(match?.[1] ?? NaN);
      };
      return {text, readGauge};
    };
    const socket = connect(settings.customerPort, settings.host);
    t.teardown(() => socket.destroy());
    await once(socket, 'connect');
    const head = [
      'POST /slow/1 HTTP/1.1',
      'host: shop.example',
      'x-request-id: a',
      'x-deadline-ms: 5000',
      'content-length: 50',
    ];
    socket.write(`${head.join('\r\n')}\r\n\r\npart of the body`);
    await until(() => harness.sidecars[0].board.counters.get('entry_requests'));
    let page = await read();
    while (page.readGauge('body_bytes') === 0) page = await read();
    const {text, readGauge} = page;
    t.is(readGauge('customer_connections'), 1);
    t.is(readGauge('body_bytes'), 'part of the body'.length);
    t.is(readGauge('memory_limit_bytes'), settings.memoryMb * 1_048_576);
    t.true(readGauge('rss_bytes') > readGauge('heap_bytes'));
    t.true(readGauge('heap_bytes') > 0);
    t.true(readGauge('heap_limit_bytes') > readGauge('heap_bytes'));
    t.true(readGauge('external_bytes') >= readGauge('buffer_bytes'));
    if (process.platform === 'linux') t.true(readGauge('open_descriptors') > 5);
    // The reader of the page keeps its first 4 KB.
    t.true(text.indexOf('\nberylbend_loop_lag_ms') < PAGE_BYTES);
  },
);

// Reading the resident memory opens a file. In a timer or behind the metrics page
// the error ended a process that had no descriptor left.
test.serial('memory that can not be read ends no daemon', async t => {
  const harness = await startHarness(t, ['dc1']);
  const {settings} = harness.sidecars[0].board;
  const {memoryUsage} = process;
  let failures = 0;
  const fail = (): never => {
    failures++;
    throw Object.assign(new Error('EMFILE'), {code: 'EMFILE'});
  };
  process.memoryUsage = Object.assign(fail, {rss: fail});
  t.teardown(() => (process.memoryUsage = memoryUsage));
  await until(() => failures > 0);
  const url = `http://${settings.host}:${settings.metricsPort}/metrics`;
  const res = await fetch(url);
  t.is(res.status, 200);
  const text = await res.text();
  t.regex(text, /^berylbend_heap_bytes \d/m);
  t.notRegex(text, /^berylbend_rss_bytes/m);
  t.is((await harness.send(0)).status, 200);
});
