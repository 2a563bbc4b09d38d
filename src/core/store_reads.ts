import {
  applyEvents,
  applyFullRead,
  type KeyChange,
  type StoreEvent,
  type StoreItem,
  type StoreMirror,
} from './store_mirror.js';

/** Answer of the store to a watch. */
export interface StoreChanges {
  readonly events: StoreEvent[];
  readonly revision: number;
}

/** Reads of the platform's store; each rejects if the call fails. */
export interface KeyValueStore {
  /** Reads one page of the keys with the prefix, after a key if given. */
  readPage(
    prefix: string,
    after: string | undefined,
  ): Promise<{items: StoreItem[]; more: boolean; revision: number}>;
  /** Waits for changes; `compacted` when their history was removed. */
  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<StoreChanges | 'compacted'>;
  close(): Promise<void>;
}

/** Dependencies of a read. */
export interface ReadDeps {
  readonly store: KeyValueStore;
  readonly mirror: StoreMirror;
  /** Monotonic clock, ms. */
  readonly now: () => number;
}

/** Changes of one read of the store, and the monotonic time at which the copy
 * matched the store at the earliest, ms. */
export interface ReadResult {
  readonly changes: KeyChange[];
  readonly matchedAt: number;
}

/** Waits for changes after the revision of the copy, and applies them. */
export async function watchChanges(
  {store, mirror, now}: ReadDeps,
  waitMs: number,
): Promise<ReadResult | 'compacted'> {
  const after = mirror.revision ?? 0;
  const startedAt = now();
  const reply = await store.watch(mirror.prefix, after, waitMs);
  if (reply === 'compacted') return reply;
  const {events, revision} = reply;
  const elapsedMs = now() - startedAt;
  // An answer may be held back on its way. It is known to have been given after
  // the start of the call, and after the wait when there were no changes.
  const waited = events.length === 0 && elapsedMs >= waitMs;
  const matchedAt = waited ? startedAt + waitMs : startedAt;
  return {changes: applyEvents(mirror, events, revision), matchedAt};
}

/** Reads all keys and applies them. */
export async function readAllKeys({
  store,
  mirror,
  now,
}: ReadDeps): Promise<ReadResult> {
  const startedAt = now();
  const items: StoreItem[] = [];
  let revision: number | undefined;
  let after: string | undefined;
  for (;;) {
    const page = await store.readPage(mirror.prefix, after);
    // Pages are not one snapshot: changes since the first page are read again.
    revision ??= page.revision;
    items.push(...page.items);
    after = page.items.at(-1)?.key;
    if (!page.more || after === undefined) break;
  }
  const changes = applyFullRead(mirror, items, revision);
  return {changes, matchedAt: startedAt};
}
