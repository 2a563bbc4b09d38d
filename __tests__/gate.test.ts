import test from 'ava';
import {
  admit,
  computeMaxWaitMs,
  createGate,
  flushWaiting,
  pump,
  release,
  setCold,
  setColdRate,
  withdraw,
  type Gate,
  type GateWork,
} from '../src/internal.js';

interface Recorded extends GateWork {
  readonly events: string[];
}

function makeWork(fields: Partial<GateWork> = {}): Recorded {
  const events: string[] = [];
  return {
    kind: 'r',
    rank: 1,
    goalAt: 1_000,
    limitAt: 2_000,
    start: () => events.push('start'),
    refuse: reason => events.push(reason),
    events,
    ...fields,
  };
}

function makeWarmGate(slots: number): Gate {
  const gate = createGate(0);
  gate.slots = slots;
  setCold(gate, 0, 0);
  gate.meanMs = 100;
  return gate;
}

test('no more requests run than the upstream has slots', t => {
  const gate = makeWarmGate(2);
  const works = [makeWork(), makeWork(), makeWork()];
  for (const work of works) admit(gate, work, 0);
  t.deepEqual(
    works.map(work => work.events),
    [['start'], ['start'], []],
  );
  release(gate, 'r', 100, 'answered', 100);
  t.deepEqual(works[2].events, ['start']);
  t.is(gate.inFlight, 2);
});

test('a request that cannot be answered in time is refused at once', t => {
  const gate = makeWarmGate(1);
  admit(gate, makeWork(), 0);
  const late = makeWork({goalAt: 120, limitAt: 150});
  admit(gate, late, 0);
  t.deepEqual(late.events, ['full']);
});

test('a waiting request that became late does not take a slot', t => {
  const gate = makeWarmGate(1);
  admit(gate, makeWork(), 0);
  const work = makeWork({goalAt: 400, limitAt: 400});
  admit(gate, work, 0);
  t.deepEqual(work.events, []);
  release(gate, 'r', 350, 'answered', 350);
  t.deepEqual(work.events, ['deadlineTooShort']);
  t.is(gate.inFlight, 0);
});

test('a request of a lower rank number goes first', t => {
  const gate = makeWarmGate(1);
  admit(gate, makeWork(), 0);
  const later = makeWork({rank: 2});
  const urgent = makeWork({rank: 0});
  admit(gate, later, 0);
  admit(gate, urgent, 0);
  release(gate, 'r', 10, 'answered', 10);
  t.deepEqual([urgent.events, later.events], [['start'], []]);
});

// A cold upstream falls over above its rate; the bound of the platform is 1.5
// times the rate and 5 in any second.
test('a cold upstream never gets more than its rate in any second', t => {
  const gate = makeWarmGate(1_000);
  setColdRate(gate, 16);
  setCold(gate, 5_000, 0);
  const starts: number[] = [];
  let now = 0;
  for (; now < 4_000; now += 10) {
    admit(
      gate,
      makeWork({
        goalAt: now + 1_000,
        limitAt: now + 1_000,
        start: () => starts.push(now),
      }),
      now,
    );
    pump(gate, now);
  }
  t.true(starts.length > 40);
  for (const from of starts) {
    const count = starts.filter(at => at >= from && at < from + 1_000).length;
    t.true(count <= 16 * 1.5 + 5, `${count} starts in one second`);
  }
});

test('an upstream of unknown state counts as cold', t => {
  const gate = createGate(0);
  gate.slots = 100;
  const works = Array.from({length: 20}, () => makeWork());
  for (const work of works) admit(gate, work, 0);
  const started = works.filter(work => work.events.includes('start')).length;
  t.true(started <= 3);
});

// Customers were told 15 ms before their deadline that a request had not run,
// long after it could have ended in time.
test('a request waits no longer than it could still end in time', t => {
  const gate = makeWarmGate(1);
  t.is(computeMaxWaitMs(gate, 'r', 600), 500);
  t.is(computeMaxWaitMs(gate, 'r', 50), 1);
  gate.meanByKind.set('quick', 2);
  t.is(computeMaxWaitMs(gate, 'quick', 600), 585);
});

test('withdrawn and flushed requests never start', t => {
  const gate = makeWarmGate(1);
  admit(gate, makeWork(), 0);
  const gone = makeWork();
  const flushed = makeWork();
  admit(gate, gone, 0);
  admit(gate, flushed, 0);
  t.true(withdraw(gate, gone));
  flushWaiting(gate, 'upstreamDown');
  release(gate, 'r', 10, 'failed', 10);
  t.deepEqual([gone.events, flushed.events], [[], ['upstreamDown']]);
  t.false(withdraw(gate, gone));
});
