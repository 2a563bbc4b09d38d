import test from 'ava';
import {createLoopLag} from '../src/internal.js';

function createHarness() {
  const times = {now: 0, idle: 0};
  let endIteration = () => {};
  const lag = createLoopLag({
    readNow: () => times.now,
    readIdle: () => times.idle,
    onIterationEnd: callback => (endIteration = callback),
  });
  return {
    idle: (ms: number) => {
      times.now += ms;
      times.idle += ms;
    },
    work: (ms: number) => {
      times.now += ms;
    },
    read: () => lag.read(),
    endIteration: () => endIteration(),
  };
}

// Guards against forwarding requests whose customers had left, after the
// requests waited unread for 0.8 s.
test('continuous work counts as lag until the process is idle', t => {
  const harness = createHarness();
  harness.work(300);
  t.is(harness.read(), 300);
  harness.work(500);
  t.is(harness.read(), 800);
  harness.idle(5);
  t.is(harness.read(), 0);
});

test('ordinary work between two reads does not count as lag', t => {
  const harness = createHarness();
  harness.idle(60);
  harness.work(30);
  t.is(harness.read(), 0);
});

// Daemons that were busy without a pause for seconds refused all requests as
// too late while their upstreams were idle, although they read their input in
// time.
test('work counts as lag for the last two iterations only', t => {
  const harness = createHarness();
  for (let i = 0; i < 50; i++) {
    harness.work(60);
    t.true(harness.read() <= 120);
    harness.endIteration();
  }
  harness.work(300);
  t.is(harness.read(), 360);
  harness.endIteration();
});

test('work before an idle time does not count as lag', t => {
  const harness = createHarness();
  harness.work(300);
  t.is(harness.read(), 300);
  harness.endIteration();
  harness.idle(5);
  harness.work(50);
  t.is(harness.read(), 50);
});
