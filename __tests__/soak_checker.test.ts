import test from 'ava';
import {type Bounds, Checker, type ReceivedAnswer} from '../soak/checker.js';

const BOUNDS: Bounds = {
  drainMs: 2_000,
  evacuationMs: 5_000,
  coldRateFactor: 1.5,
  coldSlack: 5,
  resendRatio: 0.2,
  resendSlack: 2,
  resendWindowMs: 10_000,
};

function createChecker() {
  const state = {at: 0, stable: true, atWork: ''};
  const checker = new Checker(
    BOUNDS,
    () => state.at,
    () => state.stable,
    id => id === state.atWork,
  );
  const booking = {id: 'r1', path: '/book/1', body: 'b', caller: 'a'};
  checker.recordSent({...booking, idempotent: false}, 900);
  const answer = {stamp: 'signed r1', body: 'body of r1', cut: false};
  const getRules = () => checker.violations.map(line => line.split(' ')[2]);
  return {state, checker, booking, answer, getRules};
}

test('an exchange within all bounds yields no violation', t => {
  const {checker, booking, answer, getRules} = createChecker();
  checker.recordArrival('u', booking);
  checker.recordAnswer('r1', {...answer, status: 200}, false);
  checker.checkColdRate('u', 17, 8);
  checker.checkLateArrival('DRAIN', 'u', 1_999);
  t.deepEqual(getRules(), []);
});

test('a booking that runs twice is reported', t => {
  const {checker, booking, getRules} = createChecker();
  checker.recordArrival('u', booking);
  checker.recordArrival('w', booking);
  t.deepEqual(getRules(), ['TWICE:']);
});

test('a refused booking that runs is reported, in either order', t => {
  const {checker, booking, getRules} = createChecker();
  const refused = {status: 503, body: '', cut: false};
  checker.recordAnswer('r1', refused, false);
  checker.recordArrival('u', booking);
  checker.recordAnswer('r1', refused, false);
  t.deepEqual(getRules(), ['REFUSED:', 'REFUSED:']);
});

test('unknown and modified requests are reported', t => {
  const {checker, booking, getRules} = createChecker();
  checker.recordArrival('u', {...booking, id: 'x'});
  checker.recordArrival('u', {...booking, body: 'c', caller: 'b'});
  t.deepEqual(getRules(), ['UNASKED:', 'UNASKED:', 'UNASKED:']);
});

test('only a request in flight during a change may bear the later caller', t => {
  const {checker, booking, getRules} = createChecker();
  checker.recordServiceChange('a', 'b');
  checker.recordArrival('u', {...booking, caller: 'b'});
  const read = {path: '/read/1', body: '', idempotent: true};
  checker.recordSent({...read, id: 'r2', caller: 'b'}, 900);
  checker.recordArrival('u', {...read, id: 'r2', caller: 'b'});
  t.deepEqual(getRules(), []);
  checker.recordArrival('u', {...read, id: 'r2', caller: 'a'});
  checker.recordSent({...read, id: 'r3', caller: 'a'}, 900);
  checker.recordArrival('u', {...read, id: 'r3', caller: 'b'});
  t.deepEqual(getRules(), ['UNASKED:', 'UNASKED:']);
});

test('answers of other requests and lost answers are reported', t => {
  const {checker, booking, answer, getRules} = createChecker();
  checker.recordAnswer('r1', {...answer, status: 200, body: 'x'}, false);
  checker.recordArrival('u', booking);
  checker.recordAnswer('r1', {status: 0, body: '', cut: true}, true);
  checker.recordAnswer('r1', {status: 0, body: '', cut: true}, false);
  checker.recordAnswer('r1', {status: 404, body: '', cut: false}, false);
  t.deepEqual(getRules(), ['MIXED:', 'LOST:', 'DENIED:']);
});

// A daemon gave up requests while their upstreams worked on them (issue 43).
test('an own answer before the deadline is reported while the upstream works', t => {
  const {state, checker, getRules} = createChecker();
  const own = {status: 504, body: '', cut: false};
  const record = (answer: ReceivedAnswer, at: number, atWork: string) => {
    Object.assign(state, {at, atWork});
    checker.recordAnswer('r1', answer, false);
  };
  record(own, 899, '');
  record(own, 900, 'r1');
  record({...own, stamp: 'signed r1'}, 899, 'r1');
  record({...own, status: 503}, 899, 'r1');
  t.deepEqual(getRules(), []);
  record(own, 899, 'r1');
  t.deepEqual(getRules(), ['LOST:']);
  checker.recordAnswer('r1', own, true);
  t.is(getRules().length, 1);
});

// Answers of a connection with several requests in flight could change places.
test('an answer that states another request is reported', t => {
  const {checker, getRules} = createChecker();
  const refused = {status: 503, body: '', cut: false};
  checker.recordAnswer('r1', {...refused, requestId: 'r1'}, false);
  t.deepEqual(getRules(), []);
  checker.recordAnswer('r1', {...refused, requestId: 'r2'}, false);
  checker.reportStray('d', 200);
  t.deepEqual(getRules(), ['MIXED:', 'MIXED:']);
});

test('resends beyond the budget are reported', t => {
  const {state, checker, getRules} = createChecker();
  const read = {id: 'r2', path: '/read/1', body: '', caller: 'a'};
  checker.recordSent({...read, idempotent: true}, 900);
  for (let i = 0; i < 3; i++) checker.recordArrival('u', read);
  t.deepEqual(getRules(), []);
  checker.recordArrival('u', read);
  t.deepEqual(getRules(), ['BUDGET:']);
  state.at = 20_000;
  checker.recordArrival('u', read);
  t.is(getRules().length, 1);
});

test('late requests, cold load and old versions are reported', t => {
  const {state, checker, getRules} = createChecker();
  checker.checkLateArrival('DRAIN', 'u', 2_001);
  checker.checkLateArrival('EVAC', 'u', 5_001);
  checker.checkColdRate('u', 18, 8);
  checker.reportRollback('d', 3, 4);
  checker.reportOutdated('d', 3, 4);
  t.deepEqual(getRules(), [
    'DRAIN:',
    'EVAC:',
    'FAILBACK:',
    'CONFIG:',
    'CONFIG:',
  ]);
  state.stable = false;
  checker.checkLateArrival('DRAIN', 'u', 9_000);
  t.is(getRules().length, 5);
});

// A process that the platform ends for its memory counts like one that ends by
// itself (issue 52).
test('ends, stuck starts and stops, and memory are reported as faults', t => {
  const {checker} = createChecker();
  checker.reportOwnEnd('d1', {code: 1, signal: null});
  checker.reportOwnEnd('d2', {code: null, signal: 'SIGHUP'});
  checker.reportStuck('d3', 'did not start');
  checker.reportMemory('d4', 300.4, 250);
  t.deepEqual(checker.violations, [
    '0.00 s FAULT: d1 ended by itself with code 1',
    '0.00 s FAULT: d2 ended by itself with SIGHUP',
    '0.00 s FAULT: d3 did not start',
    '0.00 s FAULT: d4 took 300 of 250 MB',
  ]);
});

test('a request that goes on crashing upstreams is reported', t => {
  const {checker, getRules} = createChecker();
  for (const retries of [1, 2, 3]) checker.checkCrashes('/book/1', retries);
  t.deepEqual(getRules(), []);
  checker.checkCrashes('/book/1', 4);
  t.deepEqual(getRules(), ['BUDGET:']);
});

test('more requests than a stated limit allows are reported', t => {
  const {state, checker, getRules} = createChecker();
  state.at = 10_000;
  const times = [5_000, ...Array.from({length: 11}, (_, i) => 9_000 + i)];
  // 1.5 times 4 s of the limit, and 5 more; the first one is too long ago.
  checker.checkStatedLimit('u', times, 1);
  t.deepEqual(getRules(), []);
  checker.checkStatedLimit('u', [...times, 9_500], 1);
  t.deepEqual(getRules(), ['LIMIT:']);
});
