import test from 'ava';
import {
  chooseTarget,
  countWaiting,
  createLimiter,
  createRandom,
  createUpstreamList,
  ejectTarget,
  formatReport,
  excludeTarget,
  markTargetFull,
  recordTargetEnd,
  recordTargetSend,
  parseReport,
  listService,
  putUpstream,
  type BalanceState,
  type LoadReport,
} from '../src/internal.js';
import {makeUpstream} from './support/mesh_fixtures.js';

const idle: LoadReport = {
  inFlight: 0,
  queued: 0,
  slots: 4,
  meanMs: 50,
  failShare: 0,
  cold: false,
  leaving: false,
  storeLost: false,
};

function createHarness() {
  const list = createUpstreamList();
  putUpstream(list, makeUpstream({id: 'near', port: 1}), 0);
  putUpstream(list, makeUpstream({id: 'far', port: 2, dataCentre: 'dc2'}), 0);
  const state: BalanceState = new Map();
  const random = createRandom(1);
  const choose = (now: number, fields: object = {}) => {
    const context = {
      dataCentre: 'dc1',
      takenOut: new Set<string>(),
      tried: new Set<string>(),
      rank: 1,
      heavy: false,
      ...fields,
    };
    const upstreams = listService(list, 's');
    return chooseTarget(state, upstreams, context, random, now)?.id;
  };
  return {list, state, choose};
}

test('the local data centre is preferred until it is full', t => {
  const {state, choose} = createHarness();
  t.is(choose(0), 'near');
  for (let i = 0; i < 4; i++) recordTargetSend(state, 'near');
  t.is(choose(0), 'far');
});

test('taken-out, leaving, tried and ejected upstreams are not chosen', t => {
  const {list, state, choose} = createHarness();
  t.is(choose(0, {takenOut: new Set(['dc1'])}), 'far');
  t.is(choose(0, {tried: new Set(['near'])}), 'far');
  t.is(choose(0, {tried: new Set(['near', 'far'])}), undefined);
  const ms = ejectTarget(state, 'near', 0);
  t.is(choose(ms - 1), 'far');
  t.is(choose(ms), 'near');
  excludeTarget(state, 'near', 1_000, ms);
  t.is(choose(ms + 999), 'far');
  putUpstream(list, makeUpstream({id: 'near', port: 1, state: 'leaving'}), 0);
  t.is(choose(10_000), 'far');
});

test('an answer ends an ejection, and failures lengthen the next', t => {
  const {state, choose} = createHarness();
  const first = ejectTarget(state, 'near', 0);
  const second = ejectTarget(state, 'near', first);
  t.true(second > first);
  recordTargetEnd(state, 'near', idle, first + 1);
  t.is(choose(first + 1), 'near');
});

// Daemons that were too busy to start requests reported no load, so all others
// sent them more, which they refused as too late.
test('an upstream whose daemon lags is avoided', t => {
  const {state, choose} = createHarness();
  const limiter = createLimiter(0);
  limiter.slots = 4;
  const report = (lagMs: number): LoadReport => ({
    ...idle,
    queued: countWaiting(limiter, lagMs),
  });
  recordTargetEnd(state, 'near', report(0), 0);
  t.is(choose(0), 'near');
  recordTargetEnd(state, 'near', report(500), 0);
  t.is(choose(0), 'far');
  const longest = report(1e9);
  t.deepEqual(parseReport(formatReport(longest)), longest);
});

test('an upstream that fails most requests is avoided', t => {
  const {list, state, choose} = createHarness();
  putUpstream(list, makeUpstream({id: 'near2', port: 3}), 0);
  recordTargetEnd(state, 'near', {...idle, failShare: 0.6}, 0);
  recordTargetEnd(state, 'near2', {...idle, inFlight: 2}, 0);
  t.is(choose(1), 'near2');
});

test('a formatted report parses back, malformed ones are ignored', t => {
  const report = {...idle, inFlight: 3, queued: 9, failShare: 0.25, cold: true};
  t.deepEqual(parseReport(formatReport(report)), report);
  for (const text of [undefined, '', '1,2,3', '1,2,3,4,5,x', '-1,0,1,1,1,0']) {
    t.is(parseReport(text), undefined);
  }
});

// Sending 90 kB between data centres costs more than a short wait.
test('a request with a large answer leaves the data centre only after a refusal', t => {
  const {state, choose} = createHarness();
  for (let i = 0; i < 9; i++) recordTargetSend(state, 'near');
  t.is(choose(0, {heavy: true}), 'near');
  t.is(choose(0, {heavy: true, tried: new Set(['near'])}), 'far');
});

test('a full upstream is chosen again early only for urgent requests', t => {
  const {state, choose} = createHarness();
  markTargetFull(state, 'near', 1, 1_000, 0);
  markTargetFull(state, 'far', 1, 1_000, 0);
  t.is(choose(50), undefined);
  t.is(choose(50, {rank: 0}), 'near');
  t.is(choose(150), 'near');
});
