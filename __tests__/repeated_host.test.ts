import {connect} from 'node:net';
import test from 'ava';
import {startHarness} from './support/sidecar_harness.js';

// The client for upstreams does not send a request with two hosts. The owner took
// its upstream for one that is down, and refused the requests of everyone.
test('a request with two hosts does no harm to others', async t => {
  const harness = await startHarness(t, ['dc1']);
  const {settings} = harness.sidecars[0].board;
  const lines = [
    'GET /read/1 HTTP/1.1',
    'host: shop.example',
    'host: other.example',
    'x-request-id: two-hosts',
    'connection: close',
  ];
  const socket = connect(settings.customerPort, settings.host);
  socket.write(`${lines.join('\r\n')}\r\n\r\n`);
  let answer = '';
  for await (const chunk of socket) answer += String(chunk);
  t.regex(answer, /^HTTP\/1\.1 400 /);
  t.is((await harness.send(0, {path: '/read/2'})).status, 200);
  t.false(harness.lines.some(line => line.includes('upstreamBroke')));
});
