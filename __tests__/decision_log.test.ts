import test from 'ava';
import {
  createDecisionLog,
  MAX_PENDING_BYTES,
  NOTABLE_LINES_PER_S,
  ROUTINE_LINES_PER_S,
} from '../src/sidecar/decision_log.js';
import type {WriteOut} from '../src/sidecar/stdout.js';

function createHarness(reading = true) {
  const state = {
    now: 0,
    texts: [] as string[],
    pending: [] as Array<() => void>,
  };
  const log = createDecisionLog({
    id: 'd1',
    dataCentre: 'dc1',
    now: () => state.now,
    out: (text, done) => {
      state.texts.push(text);
      if (reading) done();
      else state.pending.push(done);
    },
  });
  const readLines = () =>
    state.texts
      .join('')
      .split('\n')
      .filter(line => line !== '')
      .map(line => JSON.parse(line) as Record<string, unknown>);
  return {state, log, readLines};
}

test('failures are logged when routine lines are dropped', async t => {
  const {state, log, readLines} = createHarness();
  for (let i = 0; i < 1_000; i++) log.write('routine', 'request', {i});
  for (let i = 0; i < 50; i++) log.write('notable', 'resend', {i});
  state.now = 1_000;
  log.write('always', 'stopped', {});
  await log.close();
  const lines = readLines();
  const count = (name: string) =>
    lines.filter(line => line.decision === name).length;
  t.is(count('request'), ROUTINE_LINES_PER_S);
  t.is(count('resend'), 50);
  const dropped = lines.find(line => line.decision === 'linesDropped');
  t.is(dropped?.lines, 1_000 - ROUTINE_LINES_PER_S);
});

test('the number of lines per second is bounded', async t => {
  const {log, readLines} = createHarness();
  for (let i = 0; i < 10_000; i++) log.write('notable', 'resend', {i});
  await log.close();
  t.is(readLines().length, NOTABLE_LINES_PER_S);
});

// A consumer that stops reading standard output must neither slow requests nor
// let the buffer grow without bound.
test('the buffer stays bounded when standard output is not read', t => {
  const {state, log} = createHarness(false);
  for (let i = 0; i < 20_000; i++) {
    state.now += 10;
    log.write('always', 'upstreamListed', {text: 'x'.repeat(100)});
  }
  t.true(log.countDropped() > 0);
  t.true(state.texts.join('').length <= MAX_PENDING_BYTES);
});

/** Outputs that never accept more, by what they do with a text. */
const STUCK_OUTPUTS: Record<string, WriteOut> = {
  'has failed': (_text, done) => done(new Error('EPIPE')),
  'is not read': () => {},
};

for (const [state, out] of Object.entries(STUCK_OUTPUTS)) {
  // A stop waited without end for its last lines to be written.
  test(`close resolves when standard output ${state}`, async t => {
    const log = createDecisionLog({
      id: 'd',
      dataCentre: 'z',
      now: () => 0,
      out,
    });
    log.write('always', 'started', {});
    await new Promise(resolve => setTimeout(resolve, 150));
    log.write('always', 'stopped', {});
    const closed = log.close().then(() => true);
    const late = new Promise(resolve => setTimeout(resolve, 10_000, false));
    t.true(await Promise.race([closed, late]));
  });
}

// Lines that can't be written any more must not pile up or be lost silently.
test('lines after a failed write are dropped and counted', async t => {
  let calls = 0;
  const log = createDecisionLog({
    id: 'd',
    dataCentre: 'z',
    now: () => 0,
    out: (_text, done) => {
      calls++;
      done(new Error('EPIPE'));
    },
  });
  log.write('always', 'started', {});
  await new Promise(resolve => setTimeout(resolve, 150));
  log.write('always', 'stopped', {});
  await log.close();
  t.is(calls, 1);
  t.is(log.countDropped(), 1);
});

// Lines before the settings are read must be written, and later ones must name
// their daemon.
test('lines name the daemon once it is known', async t => {
  const texts: string[] = [];
  const log = createDecisionLog({
    now: () => 0,
    out: (text, done) => {
      texts.push(text);
      done();
    },
  });
  log.write('always', 'starting', {});
  log.flush();
  t.is(texts.length, 1);
  log.identify({id: 'd1', dataCentre: 'dc1'});
  log.write('always', 'started', {});
  await log.close();
  const lines = texts.map(text => JSON.parse(text) as Record<string, unknown>);
  t.deepEqual(
    lines.map(({decision, id, dataCentre}) => [decision, id, dataCentre]),
    [
      ['starting', undefined, undefined],
      ['started', 'd1', 'dc1'],
    ],
  );
});
