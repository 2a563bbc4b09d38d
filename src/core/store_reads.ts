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
  /** Era of the store, if it states one. */
  readonly era?: number;
}

/** Answer of the store to a watch whose history it does not have. */
export interface LostHistory {
  readonly events?: undefined;
  /** Era of the store, if it states one. */
  readonly era?: number;
}

/** One page of the keys with a prefix. */
export interface StorePage {
  readonly items: StoreItem[];
  readonly more: boolean;
  readonly revision: number;
  /** Era of the store, if it states one. */
  readonly era?: number;
}

/** Reads of the platform's store; each rejects if the call fails. `onProgress` is
 * called whenever a part of the answer arrives. */
export interface KeyValueStore {
  /** Reads one page of the keys with the prefix, after a key if given. */
  readPage(
    prefix: string,
    after: string | undefined,
    onProgress?: () => void,
  ): Promise<StorePage>;
  /** Waits for changes. */
  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    onProgress?: () => void,
  ): Promise<StoreChanges | LostHistory>;
  close(): Promise<void>;
}

/** Dependencies of a read. */
export interface ReadDeps {
  readonly store: KeyValueStore;
  readonly mirror: StoreMirror;
  /** Monotonic clock, ms. */
  readonly now: () => number;
  /** Called whenever a part of an answer arrives. */
  readonly onProgress?: () => void;
}

/** Changes of one read of the store, and the monotonic time at which the copy
 * matched the store at the earliest, ms. */
export interface ReadResult {
  readonly changes: KeyChange[];
  readonly matchedAt: number;
}

/** Rejects an answer of an earlier era than that of the copy, which is late. */
function checkEra(mirror: StoreMirror, era: number): void {
  if (era >= mirror.era) return;
  throw new Error(`store answered in era ${era}, known is ${mirror.era}`);
}

/** Waits for changes after the revision of the copy, and applies them, unless all
 * keys must be read: history was removed, or the store is in a later era. */
export async function watchChanges(
  {store, mirror, now, onProgress}: ReadDeps,
  waitMs: number,
): Promise<ReadResult | 'compacted' | 'laterEra'> {
  const {era: askedEra, revision: after = 0} = mirror;
  const startedAt = now();
  const reply = await store.watch(mirror.prefix, after, waitMs, onProgress);
  const {era = 0} = reply;
  checkEra(mirror, era);
  // The revision that the watch began at is one of another history.
  if (era !== askedEra || era !== mirror.era) return 'laterEra';
  if (!reply.events) return 'compacted';
  const {events, revision} = reply;
  const elapsedMs = now() - startedAt;
  // An answer may be held back on its way. It is known to have been given after
  // the start of the call, and after the wait when there were no changes.
  const waited = events.length === 0 && elapsedMs >= waitMs;
  const matchedAt = waited ? startedAt + waitMs : startedAt;
  // Another source may have sent a newer state meanwhile, which the events would
  // undo: they may restore a key that was deleted after them.
  if (revision < (mirror.revision ?? 0)) return {changes: [], matchedAt};
  return {changes: applyEvents(mirror, events, revision), matchedAt};
}

/** Reads all keys and applies them. */
export async function readAllKeys({
  store,
  mirror,
  now,
  onProgress,
}: ReadDeps): Promise<ReadResult> {
  let startedAt = now();
  let items: StoreItem[] = [];
  let era: number | undefined;
  let revision: number | undefined;
  let after: string | undefined;
  for (;;) {
    const page = await store.readPage(mirror.prefix, after, onProgress);
    const {era: pageEra = 0} = page;
    checkEra(mirror, pageEra);
    if (era !== undefined && pageEra !== era) {
      // Pages of two eras have nothing in common.
      [startedAt, items] = [now(), []];
      era = revision = after = undefined;
      continue;
    }
    era = pageEra;
    // Pages are not one snapshot: changes since the first page are read again.
    revision ??= page.revision;
    items.push(...page.items);
    after = page.items.at(-1)?.key;
    if (!page.more || after === undefined) break;
  }
  const changes = applyFullRead(mirror, items, revision, era);
  return {changes, matchedAt: startedAt};
}
