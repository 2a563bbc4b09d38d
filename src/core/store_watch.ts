import type {MeshConfig, MeshUpstream} from '../types/mesh.js';

/** Value of a key in the platform's store. */
export interface StoreItem {
  readonly key: string;
  readonly value: Buffer;
}

/** One change; without a value the key was deleted. */
export interface StoreEvent {
  readonly key: string;
  readonly value?: Buffer;
}

/** Reads of the platform's store; each rejects with a `StoreFault`. */
export interface KeyValueStore {
  /** Reads one page of the keys with the prefix, after a key if given. */
  readPage(
    prefix: string,
    after: string | undefined,
  ): Promise<{items: StoreItem[]; more: boolean; revision: number}>;
  /** Waits for changes; `compacted` when their history is gone. */
  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<{events: StoreEvent[]; revision: number} | 'compacted'>;
  close(): Promise<void>;
}

/** What a key of the store means to the mesh. */
export type StoreNews =
  | {kind: 'config'; config: MeshConfig}
  | {kind: 'upstream'; upstream: MeshUpstream}
  | {kind: 'upstreamGone'; id: string}
  | {kind: 'dataCentre'; name: string; takenOut: boolean}
  | {kind: 'unreadable'; key: string; reason: string};

/** Longest wait of one watch, ms. A connection may go silent without a reset;
 * the wait bounds the time until that shows. */
export const WATCH_MS = 2_000;

/** Pause after a watch that brought changes, ms: one call then brings several. */
export const COALESCE_MS = 200;

/** Shortest and longest pause after a failed call, ms. */
export const STORE_RETRY_MS = {shortest: 250, longest: 700};

/** What a watch of one prefix needs. */
export interface StoreWatchDeps {
  readonly store: KeyValueStore;
  readonly prefix: string;
  /** Reads what a key means; undefined for keys of no interest. */
  readonly decode: (
    key: string,
    value: Buffer | undefined,
  ) => StoreNews | undefined;
  /** Takes in the news of one call; `whole` after a read of all keys. */
  readonly onNews: (news: StoreNews[], whole: boolean) => void;
  readonly onFault: (err: Error) => void;
  readonly onRecovered: () => void;
  readonly random: () => number;
}

/** A running watch. */
export interface StoreWatch {
  stop(): void;
}

/** Reads all keys of a prefix and follows their changes until stopped. */
export function startStoreWatch(deps: StoreWatchDeps): StoreWatch {
  const state = {stopped: false};
  void followPrefix(deps, state);
  return {
    stop: () => {
      state.stopped = true;
    },
  };
}

async function followPrefix(
  deps: StoreWatchDeps,
  state: {stopped: boolean},
): Promise<void> {
  const known = new Set<string>();
  let revision: number | undefined;
  let faulty = false;
  while (!state.stopped) {
    try {
      const changed: boolean = await step();
      if (faulty) deps.onRecovered();
      faulty = false;
      if (changed) await pause(COALESCE_MS);
    } catch (err) {
      if (state.stopped) return;
      if (!faulty) deps.onFault(err as Error);
      faulty = true;
      const {shortest, longest} = STORE_RETRY_MS;
      await pause(shortest + deps.random() * (longest - shortest));
    }
  }

  async function step(): Promise<boolean> {
    if (revision === undefined) {
      revision = await readWhole(deps, known);
      return false;
    }
    const reply = await deps.store.watch(deps.prefix, revision, WATCH_MS);
    if (reply === 'compacted') {
      revision = undefined;
      return false;
    }
    revision = Math.max(revision, reply.revision);
    if (reply.events.length === 0) return false;
    deps.onNews(readEvents(deps, known, reply.events), false);
    return true;
  }
}

async function readWhole(
  deps: StoreWatchDeps,
  known: Set<string>,
): Promise<number> {
  const items: StoreItem[] = [];
  let revision: number | undefined;
  let after: string | undefined;
  for (;;) {
    const page = await deps.store.readPage(deps.prefix, after);
    // Pages are no snapshot: changes since the first page are read again.
    revision ??= page.revision;
    items.push(...page.items);
    after = page.items.at(-1)?.key;
    if (!page.more || after === undefined) break;
  }
  const present = new Set(items.map(item => item.key));
  const vanished = [...known].filter(key => !present.has(key));
  const events: StoreEvent[] = [...vanished.map(key => ({key})), ...items];
  deps.onNews(readEvents(deps, known, events), true);
  return revision;
}

function readEvents(
  deps: StoreWatchDeps,
  known: Set<string>,
  events: readonly StoreEvent[],
): StoreNews[] {
  // Only the newest value of a key counts.
  const latest = new Map(events.map(event => [event.key, event.value]));
  const news: StoreNews[] = [];
  for (const [key, value] of latest) {
    if (value === undefined) known.delete(key);
    else known.add(key);
    const item = deps.decode(key, value);
    if (item) news.push(item);
  }
  return news;
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
