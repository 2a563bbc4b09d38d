import type {KeyValueStore, StoreEvent, StoreItem} from '../src/internal.js';

/** In-memory key-value store with fault injection. */
export interface FakeStore extends KeyValueStore {
  put(key: string, value: unknown): void;
  remove(key: string): void;
  /** Comes back from a copy that is `ageMs` old: writes since are gone, revisions
   * are given out again, and the era is one higher. */
  drill(ageMs: number): void;
  /** Lists the keys with a prefix. */
  listKeys(prefix: string): string[];
  /** Number of its drills; stated in answers unless it is 0. */
  era: number;
  /** Called after each drill with the changes that the history has left. */
  onDrill?: (history: readonly StoreEvent[]) => void;
  /** Compacts the history; watches from older revisions get no events, as do
   * those from revisions that it doesn't have. */
  compact(): void;
  /** While true, every call fails. */
  down: boolean;
  calls: number;
  /** Called before each page of a full read but the first. */
  onNextPage?: () => void;
  /** Called with each change, as it enters the history. */
  onWrite?: (event: StoreEvent) => void;
}

/** Creates an empty store; `pageSize` is the maximum items per page. */
export function createFakeStore(pageSize = 500): FakeStore {
  const items = new Map<string, StoreItem>();
  let writes: Array<{readonly event: StoreEvent; readonly at: number}> = [];
  let history: StoreEvent[] = [];
  let revision = 1;
  let compactedRevision = 0;
  const waiters = new Set<() => void>();
  const record = (event: StoreEvent) => {
    history.push(event);
    writes.push({event, at: performance.now()});
    store.onWrite?.(event);
    for (const wake of [...waiters]) wake();
  };
  const checkAvailable = () => {
    store.calls++;
    if (store.down) throw new Error('store is down');
  };
  const findEvents = (prefix: string, after: number) =>
    history.filter(
      event => event.key.startsWith(prefix) && event.revision > after,
    );
  const stateEra = () => (store.era > 0 ? {era: store.era} : {});
  const store: FakeStore = {
    down: false,
    calls: 0,
    era: 0,
    put(key, value) {
      const text = typeof value === 'string' ? value : JSON.stringify(value);
      const bytes = Buffer.from(text);
      revision++;
      const created = items.get(key)?.created ?? revision;
      const item = {key, value: bytes, revision, created};
      items.set(key, item);
      record(item);
    },
    remove(key) {
      items.delete(key);
      record({key, revision: ++revision});
    },
    listKeys: prefix => [...items.keys()].filter(key => key.startsWith(prefix)),
    drill(ageMs) {
      const asOf = performance.now() - ageMs;
      writes = writes.filter(({at}) => at <= asOf);
      items.clear();
      for (const {event} of writes) {
        const {key, value} = event;
        if (value === undefined) items.delete(key);
        else items.set(key, {...event, value});
      }
      revision = writes.at(-1)?.event.revision ?? 1;
      history = history.filter(event => event.revision <= revision);
      compactedRevision = Math.min(compactedRevision, revision);
      store.era++;
      store.onDrill?.(writes.map(({event}) => event));
      for (const wake of [...waiters]) wake();
    },
    compact() {
      history = [];
      compactedRevision = revision;
      for (const wake of [...waiters]) wake();
    },
    async readPage(prefix, after) {
      checkAvailable();
      if (after !== undefined) store.onNextPage?.();
      const keys = [...items.keys()].filter(
        key => key.startsWith(prefix) && (after === undefined || key > after),
      );
      const page = keys.sort().slice(0, pageSize);
      return {
        items: page.map(key => items.get(key) as StoreItem),
        more: page.length < keys.length,
        revision,
        ...stateEra(),
      };
    },
    async watch(prefix, after, waitMs) {
      checkAvailable();
      const isKnown = () => after >= compactedRevision && after <= revision;
      if (!isKnown()) return stateEra();
      if (findEvents(prefix, after).length === 0) await waitForEvent(waitMs);
      if (store.down) throw new Error('store is down');
      if (!isKnown()) return stateEra();
      return {events: findEvents(prefix, after), revision, ...stateEra()};
    },
    close: () => Promise.resolve(),
  };
  const waitForEvent = (waitMs: number): Promise<void> =>
    new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      waiters.add(wake);
    });
  return store;
}
