import test from 'ava';
import {createDecisionLog} from '../src/sidecar/decision_log.js';
import {createMemoryWatch} from '../src/sidecar/memory_watch.js';
import {startHarness, until} from './support/sidecar_harness.js';

const LIMIT_BYTES = 1_000;

const HEAP_LIMIT_BYTES = 100;

// Memory near its limit left no line; a line at each check would fill the log.
test('memory is logged as it crosses the marks', async t => {
  const lines: Array<Record<string, unknown>> = [];
  const log = createDecisionLog({
    now: () => 0,
    out: (text, done) => {
      for (const line of text.trim().split('\n')) {
        lines.push(JSON.parse(line) as Record<string, unknown>);
      }
      done();
    },
  });
  let rssBytes: number | undefined;
  let heapBytes = 1;
  const check = createMemoryWatch({
    log,
    readUse: () => ({
      rssBytes,
      limitBytes: LIMIT_BYTES,
      heapBytes,
      heapLimitBytes: HEAP_LIMIT_BYTES,
      externalBytes: 2,
      bufferBytes: 3,
      answerBytes: 4,
      bodyBytes: 5,
      connections: 6,
    }),
  });
  for (rssBytes of [100, 800, 801, 990, 750, 810, 700, 699, 750, 100, 900]) {
    check();
  }
  // Only the heap is near its limit now, as request heads may take it there.
  rssBytes = undefined;
  for (heapBytes of [81, 90, 70, 69, 80, 81]) check();
  await log.close();
  t.deepEqual(
    lines.map(line => [line.decision, line.rssBytes, line.heapBytes]),
    [
      ['memoryHigh', 801, 1],
      ['memoryNormal', 699, 1],
      ['memoryHigh', 900, 1],
      ['memoryNormal', undefined, 69],
      ['memoryHigh', undefined, 81],
    ],
  );
  t.like(lines[0], {
    limitBytes: LIMIT_BYTES,
    heapBytes: 1,
    heapLimitBytes: HEAP_LIMIT_BYTES,
    externalBytes: 2,
    bufferBytes: 3,
    answerBytes: 4,
    bodyBytes: 5,
    connections: 6,
  });
});

// The check must run in the daemon itself. The settings of the tests state a
// limit that is below what a Node process with the test runner uses.
test('a daemon checks its memory', async t => {
  const {lines} = await startHarness(t, ['dc1']);
  const held = Buffer.alloc(120_000_000, 1);
  await until(() => lines.some(line => line.includes('"memoryHigh"')));
  t.is(held.length, 120_000_000);
});
