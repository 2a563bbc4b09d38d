import test from 'ava';
import {createLoopLag} from '../src/internal.js';

function createHarness() {
  const times = {now: 0, idle: 0};
  const lag = createLoopLag(
    () => times.now,
    () => times.idle,
  );
  return {
    idle: (ms: number) => {
      times.now += ms;
      times.idle += ms;
    },
    work: (ms: number) => {
      times.now += ms;
    },
    read: () => lag.read(),
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
