import test, {type ExecutionContext} from 'ava';
import {startHarness} from './support/sidecar_harness.js';

// The loop lag is an upper bound of the time that a request waited unread, so a
// deadline that is corrected by it may come early.

const DEADLINE_MS = 1_000;

async function startBusyDaemon(t: ExecutionContext, lagMs: number) {
  const harness = await startHarness(t, ['dc1']);
  harness.sidecars[0].board.lag.read = () => lagMs;
  return harness;
}

const PATHS = {
  'the deadline of the customer': {
    path: '/slow/1',
    allowedMs: DEADLINE_MS,
    lagMs: 700,
  },
  'the timeout of the route': {path: '/read/1', allowedMs: 600, lagMs: 200},
};

for (const [kind, {path, allowedMs, lagMs}] of Object.entries(PATHS)) {
  // Customers got 504 before their deadline while the upstream was at work.
  test.serial(`no own answer comes before ${kind}`, async t => {
    const harness = await startBusyDaemon(t, lagMs);
    harness.upstreams[0].handle = () => {};
    const sentAt = performance.now();
    const {status} = await harness.send(0, {path, deadlineMs: DEADLINE_MS});
    const elapsedMs = performance.now() - sentAt;
    t.is(status, 504);
    t.true(elapsedMs >= allowedMs, `${elapsedMs} ms`);
  });

  // An upstream stops at the deadline that it was given. Its answer was replaced
  // by that of the daemon.
  test.serial(`an upstream answers at ${kind}`, async t => {
    const harness = await startBusyDaemon(t, lagMs);
    harness.upstreams[0].handle = (req, res) => {
      const headers = {
        'x-request-id': req.headers['x-request-id'],
        'x-server-stamp': 'signed',
      };
      const remainingMs = Number(req.headers['x-deadline-ms']);
      setTimeout(() => res.writeHead(504, headers).end('late'), remainingMs);
    };
    const answer = await harness.send(0, {path, deadlineMs: DEADLINE_MS});
    t.is(answer.status, 504);
    t.is(answer.headers['x-server-stamp'], 'signed');
  });
}
