import type {MeshConfig, MeshUpstream} from '../types/mesh.js';
import type {StorePosition} from './eras/position.js';
import type {FollowerDeps, PeerUpdate, StoreFollower} from './follower/deps.js';
import {
  avoid,
  handleChanges,
  isAvoided,
  markFresh,
  markMatched,
  readAvoidedMs,
  type FollowerState,
} from './follower/state.js';
import {readStore} from './follower/store_call.js';
import {applyMirrorState, confirmRevision} from './store_mirror.js';

/** Decoded change of a key of the store. */
export type StoreUpdate =
  | {kind: 'config'; config: MeshConfig}
  | {kind: 'upstream'; upstream: MeshUpstream}
  | {kind: 'upstreamGone'; id: string}
  | {kind: 'dataCentre'; name: string; takenOut: boolean}
  | {kind: 'unreadable'; key: string; reason: string};

/**
 * Longest wait of one watch, ms. A connection may fail without a reset; the
 * wait bounds the time until this daemon and those that ask it detect that. A
 * configuration must be in force 2 s after it was accepted.
 */
export const WATCH_MS = 700;

/**
 * Age above which a daemon's copy of the store counts as stale, ms: the wait of
 * a watch and the time for its answer.
 */
export const FRESH_MS = WATCH_MS + 500;

/**
 * Longest time for which a reader delays its answer to a long poll, ms. It
 * answers when its watch ends, so that its copy is fresh then.
 */
export const POLL_MS = WATCH_MS + 100;

/**
 * Pause after a watch that ended early, ms: batches further changes. In a large
 * fleet there is always a heartbeat, so it sets the rate of calls.
 */
export const COALESCE_MS = 500;

/** Longest wait of a watch after such a pause, ms: pause and wait together make
 * the copy no older than one long watch does. */
const WATCH_AFTER_PAUSE_MS = WATCH_MS - COALESCE_MS;

/** Backoff before a daemon that gave no fresh answer is asked again, ms. */
const AVOID_MS = {shortest: 1_000, longest: 8_000};

/** Time for a reader to read the store in a later era, ms: about the first pause
 * after a failed call. */
const ERA_PAUSE_MS = 500;

/** Pause while neither the store nor a ranked daemon answers, ms. */
const NO_SOURCE_PAUSE_MS = 300;

/** Keeps a copy of the store's keys until stopped. */
export function startStoreFollower(deps: FollowerDeps): StoreFollower {
  const state: FollowerState = {
    deps,
    stopped: false,
    needsFullRead: true,
    needsAllItems: false,
    era: deps.mirror.era,
    knowsLaterEra: false,
    failedCalls: 0,
    failingSince: -Infinity,
    stale: false,
    confirmedAt: -Infinity,
    matchedAt: undefined,
    unavailable: false,
    lost: false,
    paused: false,
    source: '',
    avoided: new Map(),
  };
  void follow(state);
  return {
    readAge: () => deps.now() - state.confirmedAt,
    isStoreLost: () => state.lost,
    stop: () => {
      state.stopped = true;
    },
  };
}

async function follow(state: FollowerState): Promise<void> {
  while (!state.stopped) {
    try {
      await followOnce(state);
    } catch (err) {
      // Without the loop the daemon would miss all later updates.
      state.deps.onError(err as Error);
      await pause(NO_SOURCE_PAUSE_MS);
    }
  }
}

async function followOnce(state: FollowerState): Promise<void> {
  const source = chooseSource(state);
  setSource(state, source);
  if (source === state.deps.peers.own) await watchStore(state);
  else if (source !== undefined) await followPeer(state, source);
  else await askPeer(state);
}

function chooseSource(state: FollowerState): string | undefined {
  const {mirror, peers} = state.deps;
  const {own} = peers;
  if (mirror.revision === undefined) {
    return isAvoided(state, own) ? undefined : own;
  }
  // Polls of daemons that may be silent must not delay the next call.
  if (state.stale && !isAvoided(state, own)) return own;
  const ranked = peers.rank();
  const asked = ranked.includes(own) ? ranked : [...ranked, own];
  return asked.find(address => !isAvoided(state, address));
}

function setSource(state: FollowerState, source = 'none'): void {
  if (source === state.source) return;
  state.source = source;
  state.deps.onSource(source);
}

/** Reads the store as a reader does; pauses when a watch has ended early. */
async function watchStore(state: FollowerState): Promise<void> {
  const {deps, needsFullRead, paused} = state;
  const waitMs = paused ? WATCH_AFTER_PAUSE_MS : WATCH_MS;
  const startedAt = deps.now();
  state.paused = false;
  const ok = await readStore(state, waitMs);
  const elapsedMs = deps.now() - startedAt;
  if (!ok || needsFullRead || elapsedMs >= waitMs) return;
  state.paused = true;
  // The age of an early answer counts from the start of its watch.
  await pause(Math.min(COALESCE_MS, WATCH_MS - elapsedMs));
}

/** Position after which other daemons are asked for changes; revision -1 for all. */
function getAskedPosition({
  deps: {mirror},
  needsAllItems,
}: FollowerState): StorePosition {
  const {era, revision = -1} = mirror;
  return {era, revision: needsAllItems ? -1 : revision};
}

/** Asks the reader; reads the store at once when its answer is stale. */
async function followPeer(
  state: FollowerState,
  address: string,
): Promise<void> {
  const {peers, now, onAnswer} = state.deps;
  const after = getAskedPosition(state);
  const startedAt = now();
  // News is due at once: the wait would delay the next call to the store.
  const waitMs = state.stale ? 0 : POLL_MS;
  const update = await peers.ask(address, after, waitMs);
  if (state.stopped) return;
  if (typeof update === 'object') {
    const answeredAt = now();
    const elapsedMs = answeredAt - startedAt;
    const ageMs = answeredAt - update.matchedAt;
    onAnswer({source: 'peer', waitMs, elapsedMs, ageMs});
  }
  if (update === 'declined') {
    avoid(state, address, AVOID_MS);
    return;
  }
  if (update && applyPeerUpdate(state, update, after)) {
    state.avoided.delete(address);
    return;
  }
  avoid(state, address, AVOID_MS);
  // The reader may have missed a change that this daemon must apply in time.
  if (isAvoided(state, peers.own)) return;
  const knewLaterEra = state.knowsLaterEra;
  await readStore(state, 0);
  if (state.knowsLaterEra && !knewLaterEra) {
    state.avoided.delete(address);
    await pause(ERA_PAUSE_MS);
  }
}

/** Applies the update of another daemon; returns true when it is fresh. */
function applyPeerUpdate(
  state: FollowerState,
  {matchedAt, state: peerState, revision, era = 0}: PeerUpdate,
  asked: StorePosition,
): boolean {
  const {deps} = state;
  const {mirror} = deps;
  // What an earlier era held says nothing of the store as it is.
  if (peerState ? (peerState.era ?? 0) < mirror.era : era !== mirror.era) {
    return false;
  }
  const fresh = deps.now() - matchedAt <= FRESH_MS;
  const changes = peerState && applyMirrorState(mirror, peerState);
  if (revision !== undefined && asked.revision === mirror.revision) {
    confirmRevision(mirror, revision);
  }
  state.needsAllItems = peerState !== undefined && changes === undefined;
  if (state.needsAllItems) return fresh;
  if (fresh) markFresh(state, matchedAt);
  else if (changes) markMatched(state, matchedAt);
  if (changes) state.needsFullRead = false;
  // Others may wait for the news that nothing has changed.
  if (changes || fresh) handleChanges(state, changes ?? []);
  return fresh;
}

/**
 * Asks any daemon: machines can lose the store and still reach each other, and
 * a daemon may start during an outage.
 */
async function askPeer(state: FollowerState): Promise<void> {
  const {peers} = state.deps;
  const address = peers.pickAny();
  const after = getAskedPosition(state);
  const update =
    address === undefined ? undefined : await peers.ask(address, after, 0);
  if (state.stopped) return;
  if (update && update !== 'declined') applyPeerUpdate(state, update, after);
  // The next call to the store may be due sooner.
  const dueMs = readAvoidedMs(state, peers.own);
  await pause(Math.max(0, Math.min(NO_SOURCE_PAUSE_MS, dueMs)));
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
