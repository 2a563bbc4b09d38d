import {checkDocument, computeDigest} from '../../src/internal.js';
import {createEventQueue} from '../../__tests__/support/queue.js';

const POLL_WAIT_MS = 2_000;
const LIST_EVERY_MS = 10_000;
const REPLY_MS = 2;

/** Calls per second that the configuration service can answer. */
export const SOURCE_CALLS_PER_S = 2_000;

/** Figures of a naive run. */
export interface NaiveFigures {
  convergenceMs: number[];
  sourceCallsPerS: number;
  peakSourceCallsPerS: number;
  /** Bytes of the polled instance list per daemon and second. */
  listBytesPerS: number;
  cpuMsPerChange: number;
}

/** Options of a naive run. */
export interface NaiveOptions {
  daemons: number;
  document: unknown;
  listBytes: number;
  changes: number;
  changeIntervalMs: number;
}

/**
 * Simulates the naive version on fake time: every daemon watches the source,
 * fetches full documents and polls the list. The source has a limited rate.
 */
export function runNaive(options: NaiveOptions): NaiveFigures {
  const {daemons, changes, changeIntervalMs, listBytes} = options;
  const queue = createEventQueue();
  const callsBySecond = new Map<number, number>();
  const inForceAt: number[][] = [];
  let [calls, version, sourceFreeAt, now] = [0, 0, 0, 0];
  const waiting = new Set<{knownVersion: number; wake: () => void}>();
  const readSource = (knownVersion: number): void => {
    calls++;
    const second = Math.floor(now / 1_000);
    callsBySecond.set(second, (callsBySecond.get(second) ?? 0) + 1);
    const poll = {knownVersion, wake: () => reply(knownVersion)};
    const reply = (fromVersion: number): void => {
      if (!waiting.delete(poll)) return;
      sourceFreeAt = Math.max(sourceFreeAt, now) + 1_000 / SOURCE_CALLS_PER_S;
      queue.push(sourceFreeAt + REPLY_MS, () => {
        for (let v = fromVersion + 1; v <= version; v++) inForceAt[v].push(now);
        readSource(version);
      });
    };
    waiting.add(poll);
    if (version > knownVersion) poll.wake();
    else queue.push(now + POLL_WAIT_MS, poll.wake);
  };
  for (let i = 0; i < daemons; i++) {
    queue.push((i * POLL_WAIT_MS) / daemons, () => readSource(version));
  }
  const publishedAt: number[] = [0];
  inForceAt.push([]);
  for (let i = 1; i <= changes; i++) {
    queue.push(i * changeIntervalMs, () => {
      version++;
      publishedAt.push(now);
      inForceAt.push([]);
      for (const poll of [...waiting]) poll.wake();
    });
  }
  const end = (changes + 1) * changeIntervalMs;
  for (;;) {
    const event = queue.popUntil(end);
    if (event === undefined) break;
    now = event.at;
    event.run();
  }
  const startedAt = performance.now();
  for (let i = 0; i < 20; i++) {
    checkDocument(options.document);
    computeDigest(options.document);
  }
  const cpuMsPerChange = (performance.now() - startedAt) / 20;
  return {
    convergenceMs: publishedAt
      .slice(1)
      .map((at, i) => Math.max(...inForceAt[i + 1]) - at),
    sourceCallsPerS: calls / (end / 1_000),
    peakSourceCallsPerS: Math.max(...callsBySecond.values()),
    listBytesPerS: listBytes / (LIST_EVERY_MS / 1_000),
    cpuMsPerChange,
  };
}
