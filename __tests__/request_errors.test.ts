import test from 'ava';
import {startHarness, type SidecarHarness} from './support/sidecar_harness.js';

// An error in the handling of one request ended the whole process when it came
// from a timer or a promise that nothing handles.

/** Makes the count of one event throw, once. */
function failOnCount({sidecars}: SidecarHarness, name: string): void {
  const {counters} = sidecars[0].board;
  const set = counters.set.bind(counters);
  let failed = false;
  counters.set = (key, value) => {
    if (key !== name || failed) return set(key, value);
    failed = true;
    throw new Error(`failed to count ${name}`);
  };
}

// The error answer of a first attempt is kept, and is sent from a timer once the
// second attempt is too late. Its headers could not be copied.
test.serial('an error answer that is sent late ends no daemon', async t => {
  const harness = await startHarness(t, ['dc1', 'dc2']);
  const [own, other] = harness.upstreams;
  own.handle = (req, res) => {
    const lines = [
      'HTTP/1.1 500 Failed',
      `x-request-id: ${String(req.headers['x-request-id'])}`,
      'x-server-stamp: signed',
      'connection: x-first',
      'connection: x-second',
      'content-length: 0',
    ];
    res.socket?.write(`${lines.join('\r\n')}\r\n\r\n`);
  };
  other.handle = () => {};
  t.is((await harness.send(0)).status, 500);
});

test.serial('an error at the deadline ends its request only', async t => {
  const harness = await startHarness(t, ['dc1']);
  harness.upstreams[0].handle = () => {};
  failOnCount(harness, 'entry_refused_deadlineAfterSend');
  t.is((await harness.send(0)).status, 502);
  t.is((await harness.send(0)).status, 504);
});

test.serial('an error after an answer ends its request only', async t => {
  const harness = await startHarness(t, ['dc1']);
  harness.upstreams[0].handle = (_req, res) => {
    res.writeHead(200, {'x-request-id': 'other', 'content-length': 0}).end();
  };
  failOnCount(harness, 'owner_bad_answers');
  const path = '/book/1';
  t.is((await harness.send(0, {path, method: 'POST'})).status, 502);
  t.is((await harness.send(0, {path, method: 'POST'})).status, 502);
});

// Such an error kept the slot of the upstream and the memory of the answer.
test.serial('an error after an answer keeps no slot and no memory', async t => {
  const harness = await startHarness(t, ['dc1']);
  const [{board}] = harness.sidecars;
  const {suspects} = board;
  let failures = 0;
  Object.defineProperty(board, 'suspects', {
    get() {
      const {stack = ''} = new Error();
      if (!stack.includes('concludeCall')) return suspects;
      failures++;
      throw new Error('failed to read the suspects');
    },
  });
  const path = '/book/1';
  for (let i = 1; i <= 2 * board.limiter.slots; i++) {
    t.is((await harness.send(0, {path, method: 'POST'})).status, 502);
    t.is(failures, i);
  }
  t.is(board.limiter.inFlight, 0);
  t.is(board.answers.usedBytes, 0);
});

// The request was marked as ended before the error: it got no answer at all.
test.serial('an error while an answer is written is answered', async t => {
  const harness = await startHarness(t, ['dc1']);
  const [{board}] = harness.sidecars;
  let failed = false;
  const {stopping} = board;
  Object.defineProperty(board, 'stopping', {
    configurable: true,
    get() {
      const {stack = ''} = new Error();
      if (failed || !stack.includes('finishAnswered')) return stopping;
      failed = true;
      throw new Error('failed to read the state');
    },
  });
  t.is((await harness.send(0)).status, 502);
  t.is((await harness.send(0)).status, 200);
});
