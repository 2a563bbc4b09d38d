import test from 'ava';
import {type Bounds, Judge} from '../soak/judge.js';

const BOUNDS: Bounds = {
  drainMs: 2_000,
  evacMs: 5_000,
  coldOver: 1.5,
  coldSlack: 5,
  resendRatio: 0.2,
  resendSlack: 2,
  resendWindowMs: 10_000,
};

function makeRig() {
  const rig = {at: 0, stable: true};
  const judge = new Judge(
    BOUNDS,
    () => rig.at,
    () => rig.stable,
  );
  const booking = {id: 'r1', path: '/book/1', body: 'b', caller: 'a'};
  judge.noteSent({...booking, repeatable: false});
  const own = {signature: 'signed r1', body: 'body of r1', cut: false};
  const rules = () => judge.broken.map(line => line.split(' ')[2]);
  return {rig, judge, booking, own, rules};
}

test('a sound exchange keeps every promise', t => {
  const {judge, booking, own, rules} = makeRig();
  judge.noteArrival('u', booking);
  judge.noteAnswer('r1', {...own, status: 200}, false);
  judge.noteCold('u', 17, 8);
  judge.noteLate('DRAIN', 'u', 1_999);
  t.deepEqual(rules(), []);
});

test('a booking that runs twice is found', t => {
  const {judge, booking, rules} = makeRig();
  judge.noteArrival('u', booking);
  judge.noteArrival('w', booking);
  t.deepEqual(rules(), ['TWICE:']);
});

test('a false refusal is found, before and after the run', t => {
  const {judge, booking, rules} = makeRig();
  const refused = {status: 503, body: '', cut: false};
  judge.noteAnswer('r1', refused, false);
  judge.noteArrival('u', booking);
  judge.noteAnswer('r1', refused, false);
  t.deepEqual(rules(), ['REFUSED:', 'REFUSED:']);
});

test('foreign and changed requests are found', t => {
  const {judge, booking, rules} = makeRig();
  judge.noteArrival('u', {...booking, id: 'x'});
  judge.noteArrival('u', {...booking, body: 'c', caller: 'b'});
  t.deepEqual(rules(), ['UNASKED:', 'UNASKED:', 'UNASKED:']);
});

test('answers of other requests and lost ones are found', t => {
  const {judge, booking, own, rules} = makeRig();
  judge.noteAnswer('r1', {...own, status: 200, body: 'x'}, false);
  judge.noteArrival('u', booking);
  judge.noteAnswer('r1', {status: 0, body: '', cut: true}, true);
  judge.noteAnswer('r1', {status: 0, body: '', cut: true}, false);
  judge.noteAnswer('r1', {status: 404, body: '', cut: false}, false);
  t.deepEqual(rules(), ['MIXED:', 'LOST:', 'DENIED:']);
});

test('repeats beyond the budget are found', t => {
  const {rig, judge, rules} = makeRig();
  const read = {id: 'r2', path: '/read/1', body: '', caller: 'a'};
  judge.noteSent({...read, repeatable: true});
  for (let i = 0; i < 3; i++) judge.noteArrival('u', read);
  t.deepEqual(rules(), []);
  judge.noteArrival('u', read);
  t.deepEqual(rules(), ['BUDGET:']);
  rig.at = 20_000;
  judge.noteArrival('u', read);
  t.is(rules().length, 1);
});

test('late, cold and old service is found while the store is stable', t => {
  const {rig, judge, rules} = makeRig();
  judge.noteLate('DRAIN', 'u', 2_001);
  judge.noteLate('EVAC', 'u', 5_001);
  judge.noteCold('u', 18, 8);
  judge.noteOlder('d', 3, 4);
  judge.noteBehind('d', 3, 4);
  t.deepEqual(rules(), ['DRAIN:', 'EVAC:', 'FAILBACK:', 'CONFIG:', 'CONFIG:']);
  rig.stable = false;
  judge.noteLate('DRAIN', 'u', 9_000);
  t.is(rules().length, 5);
});
