import {entrySchema, type Entry} from '../src/internal.js';

/** Size limit of the platform for a value, bytes of JSON. */
export const MAX_VALUE_BYTES = 1_000_000;

/** Simulated state of the configuration service. */
export type SourceMode =
  /** Returns all published entries. */
  | {kind: 'up'}
  /** Resets connections, responds with 500, or never responds. */
  | {kind: 'down'; how: 'reset' | 'error' | 'silent'}
  /** Hides entries after `index`. */
  | {kind: 'stale'; index: number}
  /** Delays responses. */
  | {kind: 'slow'; delayMs: number}
  /** Every second read is `by` entries behind. */
  | {kind: 'backwards'; by: number};

/** Result of one read. */
export interface SeriesReply {
  index: number;
  entries: Entry[];
}

/** Append-only series of entries, as the platform stores it. */
export interface Series {
  /** Appends an entry; throws a RangeError if the value is too large. */
  publish(kind: string, value: unknown): Entry;
  /** Drops entries below `index`, as the platform may after a snapshot. */
  dropBefore(index: number): void;
  /** Drops entries above `index`, like a restore from an old backup. */
  restore(index: number): void;
  /** Index of the newest entry, 0 if empty. */
  index(): number;
  setMode(mode: SourceMode): void;
  mode(): SourceMode;
  /** Reads the entries after an index that the mode makes visible. */
  read(after: number): SeriesReply;
  /** Like `read`, but waits up to `waitMs` for an entry after `after`. */
  watch(
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<SeriesReply>;
}

/** Creates an empty series whose indices increase by `indexStep`. */
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
