import {checkDocument, computeDigest} from '../../src/internal.js';
import {createQueue} from '../../__tests__/support/queue.js';

const POLL_WAIT_MS = 2_000;
const LIST_EVERY_MS = 10_000;
const REPLY_MS = 2;

/** Calls a second that the configuration service answers. */
export const SOURCE_RATE = 2_000;

/** Figures of the naive version. */
export interface NaiveFigures {
  convergenceMs: number[];
  sourceCallsPerS: number;
  peakSourceCallsPerS: number;
  /** Bytes of the polled instance list per daemon and second. */
  listBytesPerS: number;
  cpuMsPerChange: number;
}

/** What the naive run needs. */
export interface NaiveOptions {
  daemons: number;
  document: unknown;
  listBytes: number;
  changes: number;
  everyMs: number;
}

/**
 * The naive version on fake time: every daemon watches the source, takes whole
 * documents as they arrive and polls the list. The source answers at its rate.
 */
export function runNaive(options: NaiveOptions): NaiveFigures {
  const {daemons, changes, everyMs, listBytes} = options;
  const queue = createQueue();
  const seconds = new Map<number, number>();
  const inForceAt: number[][] = [];
  let [calls, version, freeAt, now] = [0, 0, 0, 0];
  const waiting = new Set<{known: number; wake: () => void}>();
  const read = (known: number): void => {
    calls++;
    const second = Math.floor(now / 1_000);
    seconds.set(second, (seconds.get(second) ?? 0) + 1);
    const poll = {known, wake: () => answer(known)};
    const answer = (had: number): void => {
      if (!waiting.delete(poll)) return;
      freeAt = Math.max(freeAt, now) + 1_000 / SOURCE_RATE;
      queue.push(freeAt + REPLY_MS, () => {
        for (let v = had + 1; v <= version; v++) inForceAt[v].push(now);
        read(version);
      });
    };
    waiting.add(poll);
    if (version > known) poll.wake();
    else queue.push(now + POLL_WAIT_MS, poll.wake);
  };
  for (let i = 0; i < daemons; i++) {
    queue.push((i * POLL_WAIT_MS) / daemons, () => read(version));
  }
  const published: number[] = [0];
  inForceAt.push([]);
  for (let i = 1; i <= changes; i++) {
    queue.push(i * everyMs, () => {
      version++;
      published.push(now);
      inForceAt.push([]);
      for (const poll of [...waiting]) poll.wake();
    });
  }
  const end = (changes + 1) * everyMs;
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
    convergenceMs: published
      .slice(1)
      .map((at, i) => Math.max(...inForceAt[i + 1]) - at),
    sourceCallsPerS: calls / (end / 1_000),
    peakSourceCallsPerS: Math.max(...seconds.values()),
    listBytesPerS: listBytes / (LIST_EVERY_MS / 1_000),
    cpuMsPerChange,
  };
}
