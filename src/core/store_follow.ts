import type {MeshConfig, MeshUpstream} from '../types/mesh.js';
import {computeBackoff} from '../utils/backoff.js';
import {hash32, rankByRendezvous} from '../utils/hash.js';
import type {Random} from '../utils/random.js';
import {
  applyEvents,
  applyMirrorState,
  applyFullRead,
  type KeyChange,
  type MirrorState,
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
export type StoreUpdate =
  | {kind: 'config'; config: MeshConfig}
  | {kind: 'upstream'; upstream: MeshUpstream}
  | {kind: 'upstreamGone'; id: string}
  | {kind: 'dataCentre'; name: string; takenOut: boolean}
  | {kind: 'unreadable'; key: string; reason: string};

/**
 * Longest wait of one watch, ms. A connection may go silent without a reset;
 * the wait bounds the time until that shows to this daemon and to those that
 * ask it. A configuration must be in force 2 s after it was accepted.
 */
export const WATCH_MS = 900;

/** Age from which what a daemon knows of the store does not count as fresh, ms:
 * the wait of a watch and the time for its answer. */
export const FRESH_MS = WATCH_MS + 500;

/** Longest time for which a reader holds the question of another daemon, ms. */
export const POLL_MS = 700;

/** Pause after a watch that brought changes, ms: one call then brings several. */
export const COALESCE_MS = 200;

/** Pause before the store is read again after a failed call, ms; it grows, as
 * all calls are priced, refused ones as well. */
export const STORE_RETRY_MS = {shortest: 250, longest: 1_500};

/** Time for which a daemon that gave no fresh answer is not asked, ms. */
const AVOID_MS = {shortest: 1_000, longest: 8_000};

/** Time after which a daemon that knows nothing asks others beside the store,
 * ms: a read that hangs would keep it from serving until it has timed out. */
const PEER_FALLBACK_MS = 250;

/** Pause while neither the store nor a ranked daemon answers, ms. */
const NO_SOURCE_PAUSE_MS = 300;

/** Daemons of one data centre that ask the same reader, at most. */
const FOLLOWERS_PER_READER = 32;

/** What another daemon says of the store. */
export interface PeerUpdate {
  /** Time since its state was known to be the store's, ms. */
  readonly ageMs: number;
  /** Undefined when it knows nothing newer. */
  readonly state: MirrorState | undefined;
}

/** Other daemons that may know the state of the store. */
export interface StorePeers {
  /** Address of this daemon among the ranked ones. */
  readonly own: string;
  /** Addresses to ask, best first; at its own turn a daemon reads the store. */
  rank(): readonly string[];
  /** Any daemon, for when no ranked one answers. */
  pickAny(): string | undefined;
  /** Resolves to undefined when the daemon did not answer properly. */
  ask(
    address: string,
    after: number,
    waitMs: number,
  ): Promise<PeerUpdate | undefined>;
}

/** What following the store needs. */
export interface FollowDeps {
  readonly store: KeyValueStore;
  readonly mirror: StoreMirror;
  readonly peers: StorePeers;
  /** Takes in the changes of one call, which may be none. */
  readonly onChanges: (changes: KeyChange[]) => void;
  /** A call of the store has failed; `first` after one that succeeded. */
  readonly onFault: (err: Error, first: boolean) => void;
  /** The store answers this daemon again. */
  readonly onRecovered: () => void;
  /** What is known is fresh again after it was not, from any source. */
  readonly onRegained: () => void;
  /** The source of news has changed. */
  readonly onSource: (source: string) => void;
  readonly random: Random;
  /** Monotonic clock, ms. */
  readonly now: () => number;
}

/** A running follower of the store. */
export interface StoreFollow {
  /** Time since the copy was known to be the store's state, ms. */
  readAge(): number;
  stop(): void;
}

interface Avoided {
  readonly until: number;
  readonly attempts: number;
}

interface FollowState {
  readonly deps: FollowDeps;
  stopped: boolean;
  /** True when the keys must be read whole. */
  needsFullRead: boolean;
  faulty: boolean;
  stale: boolean;
  confirmedAt: number;
  source: string;
  readonly avoided: Map<string, Avoided>;
}

/**
 * Orders the daemons of a data centre for one of them. The first few read the
 * store and answer the others, so the number of calls hardly grows with the
 * fleet; every daemon reads the store itself when its reader is not fresh.
 */
export function rankReaders(
  key: string,
  addresses: Iterable<string>,
  own: string,
): string[] {
  const ranked = rankByRendezvous(key, addresses);
  const readers = Math.ceil(ranked.length / FOLLOWERS_PER_READER);
  const at = ranked.indexOf(own);
  const isReader = at >= 0 && at < readers;
  const first = isReader ? at : hash32(own) % Math.max(1, readers);
  return [...ranked.slice(first), ...ranked.slice(0, first)];
}

/** Keeps a copy of the store's keys until stopped. */
export function startStoreFollow(deps: FollowDeps): StoreFollow {
  const state: FollowState = {
    deps,
    stopped: false,
    needsFullRead: true,
    faulty: false,
    stale: false,
    confirmedAt: -Infinity,
    source: '',
    avoided: new Map(),
  };
  void follow(state);
  return {
    readAge: () => deps.now() - state.confirmedAt,
    stop: () => {
      state.stopped = true;
    },
  };
}

async function follow(state: FollowState): Promise<void> {
  while (!state.stopped) {
    const source = chooseSource(state);
    setSource(state, source);
    if (source === state.deps.peers.own) await readStore(state, WATCH_MS);
    else if (source !== undefined) await followPeer(state, source);
    else await askAnyPeer(state);
  }
}

function isAvoided({avoided, deps}: FollowState, address: string): boolean {
  const entry = avoided.get(address);
  return entry !== undefined && deps.now() < entry.until;
}

function chooseSource(state: FollowState): string | undefined {
  const {mirror, peers} = state.deps;
  const {own} = peers;
  if (mirror.revision === undefined) {
    return isAvoided(state, own) ? undefined : own;
  }
  const ranked = peers.rank();
  const asked = ranked.includes(own) ? ranked : [...ranked, own];
  return asked.find(address => !isAvoided(state, address));
}

function setSource(state: FollowState, source = 'none'): void {
  if (source === state.source) return;
  state.source = source;
  state.deps.onSource(source);
}

function markFresh(state: FollowState, ageMs: number): void {
  const {deps} = state;
  state.confirmedAt = Math.max(state.confirmedAt, deps.now() - ageMs);
  if (!state.stale) return;
  state.stale = false;
  deps.onRegained();
}

/** Reads the store; waits for changes when its keys have been read before. */
async function readStore(state: FollowState, waitMs: number): Promise<void> {
  const {deps} = state;
  const {own} = deps.peers;
  const helper = setTimeout(() => void askUntilKnown(state), PEER_FALLBACK_MS);
  try {
    const changes = await (state.needsFullRead
      ? readAllPages(deps)
      : watch(deps, waitMs));
    if (state.stopped) return;
    state.avoided.delete(own);
    if (state.faulty) deps.onRecovered();
    state.faulty = false;
    state.needsFullRead = changes === 'compacted';
    if (changes === 'compacted') return;
    markFresh(state, 0);
    deps.onChanges(changes);
    if (changes.length > 0 && waitMs > 0) await pause(COALESCE_MS);
  } catch (err) {
    if (state.stopped) return;
    avoid(state, own, STORE_RETRY_MS);
    state.stale = true;
    deps.onFault(err as Error, !state.faulty);
    state.faulty = true;
  } finally {
    clearTimeout(helper);
  }
}

async function askUntilKnown(state: FollowState): Promise<void> {
  const {mirror} = state.deps;
  while (!state.stopped && mirror.revision === undefined)
    await askAnyPeer(state);
}

function avoid(
  state: FollowState,
  address: string,
  {shortest, longest}: {shortest: number; longest: number},
): void {
  const {avoided, deps} = state;
  const attempts = avoided.get(address)?.attempts ?? 0;
  const ms =
    shortest +
    computeBackoff(attempts, shortest, longest - shortest, deps.random);
  avoided.set(address, {until: deps.now() + ms, attempts: attempts + 1});
}

/** Asks the reader; reads the store at once when its answer is not fresh. */
async function followPeer(state: FollowState, address: string): Promise<void> {
  const {peers, mirror} = state.deps;
  const news = await peers.ask(address, mirror.revision ?? -1, POLL_MS);
  if (state.stopped) return;
  if (news && applyPeerUpdate(state, news)) {
    state.avoided.delete(address);
    return;
  }
  avoid(state, address, AVOID_MS);
  // The reader may have missed what this daemon must act on in time.
  if (!isAvoided(state, peers.own)) await readStore(state, 0);
}

/** Takes in what another daemon knows; returns true when it is fresh. */
function applyPeerUpdate(
  state: FollowState,
  {ageMs, state: known}: PeerUpdate,
): boolean {
  const {deps} = state;
  const fresh = ageMs <= FRESH_MS;
  if (fresh) markFresh(state, ageMs);
  if (known) {
    state.needsFullRead = false;
    deps.onChanges(applyMirrorState(deps.mirror, known));
  }
  return fresh;
}

/**
 * Asks any daemon: machines are cut off from the store and not from each other,
 * and a daemon may start during an outage.
 */
async function askAnyPeer(state: FollowState): Promise<void> {
  const {peers, mirror} = state.deps;
  const address = peers.pickAny();
  const news =
    address === undefined
      ? undefined
      : await peers.ask(address, mirror.revision ?? -1, 0);
  if (state.stopped) return;
  if (news) applyPeerUpdate(state, news);
  await pause(NO_SOURCE_PAUSE_MS);
}

async function watch(
  {store, mirror}: FollowDeps,
  waitMs: number,
): Promise<KeyChange[] | 'compacted'> {
  const after = mirror.revision ?? 0;
  const reply = await store.watch(mirror.prefix, after, waitMs);
  if (reply === 'compacted') return reply;
  return applyEvents(mirror, reply.events, reply.revision);
}

async function readAllPages({store, mirror}: FollowDeps): Promise<KeyChange[]> {
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
  return applyFullRead(mirror, items, revision);
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
