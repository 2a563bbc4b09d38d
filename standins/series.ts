import {entrySchema, type Entry} from '../src/internal.js';

/** Largest value that the platform stores, bytes of JSON. */
export const MAX_VALUE_BYTES = 1_000_000;

/** State of the configuration service as readers see it. */
export type SourceMode =
  /** Answers with everything that is published. */
  | {kind: 'up'}
  /** Resets connections, answers 500, or never answers. */
  | {kind: 'down'; how: 'reset' | 'error' | 'silent'}
  /** Frozen at an index; newer entries are invisible. */
  | {kind: 'stale'; index: number}
  /** Answers after an extra delay. */
  | {kind: 'slow'; delayMs: number}
  /** Every second reply is `by` entries behind. */
  | {kind: 'backwards'; by: number};

/** Reply to one read. */
export interface SeriesReply {
  index: number;
  entries: Entry[];
}

/** The platform's append-only series of entries, without a transport. */
export interface Series {
  /** Appends an entry; throws a RangeError for a value that is too large. */
  publish(kind: string, value: unknown): Entry;
  /** Drops the entries below an index, as the platform may after a snapshot. */
  dropBefore(index: number): void;
  /** Loses all entries above an index, as after a restore of an old copy. */
  restore(index: number): void;
  /** Index of the newest entry, 0 when empty. */
  index(): number;
  setMode(mode: SourceMode): void;
  mode(): SourceMode;
  /** Reads once; the mode decides what is visible. */
  read(after: number): SeriesReply;
  /** Reads, and waits up to `waitMs` when nothing is newer than `after`. */
  watch(
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<SeriesReply>;
}

/** Creates an empty series; indices grow by `indexStep`. */
export function createSeries({indexStep = 1} = {}): Series {
  let entries: Entry[] = [];
  let mode: SourceMode = {kind: 'up'};
  let reads = 0;
  const waiting = new Set<() => void>();

  const index = () => entries.at(-1)?.index ?? 0;

  function publish(kind: string, value: unknown): Entry {
    const bytes = Buffer.byteLength(JSON.stringify(value) ?? '');
    if (bytes > MAX_VALUE_BYTES) {
      throw new RangeError(`value of ${bytes} bytes exceeds 1 MB`);
    }
    const prev = index();
    const entry = entrySchema.parse({
      index: prev + indexStep,
      prev,
      kind,
      value: structuredClone(value),
    });
    entries.push(entry);
    wakeWatches();
    return entry;
  }

  function wakeWatches(): void {
    for (const check of [...waiting]) check();
  }

  function getVisibleIndex(readCount: number): number {
    if (mode.kind === 'stale') return Math.min(mode.index, index());
    if (mode.kind !== 'backwards' || readCount % 2 === 1) return index();
    const at = Math.max(0, entries.length - 1 - mode.by);
    return entries[at]?.index ?? 0;
  }

  function read(after: number, readCount = ++reads): SeriesReply {
    const visibleIndex = getVisibleIndex(readCount);
    return {
      index: visibleIndex,
      entries: entries.filter(e => e.index > after && e.index <= visibleIndex),
    };
  }

  function watch(
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<SeriesReply> {
    const readCount = ++reads;
    const first = read(after, readCount);
    if (first.entries.length > 0 || waitMs <= 0 || signal?.aborted) {
      return Promise.resolve(first);
    }
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        waiting.delete(check);
        signal?.removeEventListener('abort', finish);
        resolve(read(after, readCount));
      };
      const check = () => {
        if (mode.kind !== 'stale' && index() > after) finish();
      };
      const timer = setTimeout(finish, waitMs);
      waiting.add(check);
      signal?.addEventListener('abort', finish);
    });
  }

  return {
    publish,
    dropBefore: first => {
      entries = entries.filter(e => e.index >= first);
    },
    restore: last => {
      entries = entries.filter(e => e.index <= last);
    },
    index,
    setMode: next => {
      mode = next;
      wakeWatches();
    },
    mode: () => mode,
    read: after => read(after),
    watch,
  };
}
