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
  const rig = createHarness();
  rig.work(300);
  t.is(rig.read(), 300);
  rig.work(500);
  t.is(rig.read(), 800);
  rig.idle(5);
  t.is(rig.read(), 0);
});

test('ordinary work between two reads does not count as lag', t => {
  const rig = createHarness();
  rig.idle(60);
  rig.work(30);
  t.is(rig.read(), 0);
});
