import test from 'ava';
import {startHarness} from './support/sidecar_harness.js';

/** Time without an answer after which a customer gives up, ms; the route allows
 * 600. */
const CUSTOMER_WAIT_MS = 2_000;

// HTTP allows a header that lists connection options to be repeated. The request
// of such an answer was never answered at the daemon beside the upstream.
for (const [place, index] of [
  ['the local upstream', 0],
  ['the upstream of another daemon', 1],
] as const) {
  test(`an answer of ${place} may repeat connection`, async t => {
    const harness = await startHarness(t, ['dc1', 'dc1']);
    const [own] = harness.upstreams;
    harness.store.remove('servers/u1');
    own.handle = (req, res) => {
      const id = String(req.headers['x-request-id']);
      const lines = [
        'HTTP/1.1 200 OK',
        `x-request-id: ${id}`,
        'x-server-stamp: signed',
        'connection: x-first',
        'connection: x-second',
        'x-first: 1',
        'x-second: 1',
        'x-third: 1',
        'content-length: 2',
      ];
      res.socket?.write(`${lines.join('\r\n')}\r\n\r\nok`);
    };
    const answer = await Promise.race([
      harness.send(index, {path: '/read/1'}),
      new Promise<undefined>(resolve =>
        setTimeout(() => resolve(undefined), CUSTOMER_WAIT_MS),
      ),
    ]);
    t.is(answer?.status, 200);
    t.is(answer?.body, 'ok');
    t.is(answer?.headers['x-first'], undefined);
    t.is(answer?.headers['x-second'], undefined);
    t.is(answer?.headers['x-third'], '1');
  });
}
