import type {MeshConfig, MeshUpstream} from '../types/mesh.js';
import {
  applyEvents,
  applyWhole,
  type KeyChange,
  type StoreEvent,
  type StoreItem,
  type StoreMirror,
} from './store_mirror.js';

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
  readonly mirror: StoreMirror;
  /** Takes in the changes of one call, which may be none. */
  readonly onChanges: (changes: KeyChange[]) => void;
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
  let whole = true;
  let faulty = false;
  while (!state.stopped) {
    try {
      if (whole) {
        await readWhole(deps);
        whole = false;
      } else {
        whole = await watchOnce(deps);
      }
      if (faulty) deps.onRecovered();
      faulty = false;
    } catch (err) {
      if (state.stopped) return;
      if (!faulty) deps.onFault(err as Error);
      faulty = true;
      const {shortest, longest} = STORE_RETRY_MS;
      await pause(shortest + deps.random() * (longest - shortest));
    }
  }
}

/** Waits for changes; returns true when the keys must be read whole. */
async function watchOnce(deps: StoreWatchDeps): Promise<boolean> {
  const {store, mirror} = deps;
  const after = mirror.revision ?? 0;
  const reply = await store.watch(mirror.prefix, after, WATCH_MS);
  if (reply === 'compacted') return true;
  deps.onChanges(applyEvents(mirror, reply.events, reply.revision));
  if (reply.events.length > 0) await pause(COALESCE_MS);
  return false;
}

async function readWhole(deps: StoreWatchDeps): Promise<void> {
  const {store, mirror} = deps;
  const items: StoreItem[] = [];
  let revision: number | undefined;
  let after: string | undefined;
  for (;;) {
    const page = await store.readPage(mirror.prefix, after);
    // Pages are no snapshot: changes since the first page are read again.
    revision ??= page.revision;
    items.push(...page.items);
    after = page.items.at(-1)?.key;
    if (!page.more || after === undefined) break;
  }
  deps.onChanges(applyWhole(mirror, items, revision));
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
