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

// Requests that had waited unread for 0.8 s were sent on after their customers
// had left.
test('work without a pause counts as lag until the process was idle', t => {
  const rig = createHarness();
  rig.work(300);
  t.is(rig.read(), 300);
  rig.work(500);
  t.is(rig.read(), 800);
  rig.idle(5);
  t.is(rig.read(), 0);
});

test('ordinary work between two reads is no lag', t => {
  const rig = createHarness();
  rig.idle(60);
  rig.work(30);
  t.is(rig.read(), 0);
});
