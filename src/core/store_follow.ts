import type {MeshConfig, MeshUpstream} from '../types/mesh.js';
import {computeBackoff} from '../utils/backoff.js';
import {setReplyTimeout} from '../utils/reply_timeout.js';
import type {StorePosition} from './eras/position.js';
import type {FollowerDeps, PeerUpdate, StoreFollower} from './follower/deps.js';
import {
  applyMirrorState,
  confirmRevision,
  type KeyChange,
} from './store_mirror.js';
import {readAllKeys, watchChanges, type ReadResult} from './store_reads.js';

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

/**
 * Backoff after a failed call to the store, ms, from the end of the wait that the
 * call asked for; it grows, because every call is charged for, refused ones
 * included. The longest one bounds the time from the end of an outage until this
 * daemon calls the store, so it must be well below the 2 s in which a change must
 * be in force.
 */
export const STORE_RETRY_MS = {shortest: 250, longest: 1_500};

/**
 * Time without any part of an answer, beyond the wait, after which a call to the
 * store no longer keeps the follower from other sources and further calls, ms. The
 * call goes on until its timeout, as a slow store may still answer it.
 */
export const UNANSWERED_MS = 500;

/** The same for a daemon without a copy, which can serve nothing, ms. */
const UNANSWERED_START_MS = 250;

/** Backoff before a daemon that gave no fresh answer is asked again, ms. */
const AVOID_MS = {shortest: 1_000, longest: 8_000};

/** Time beyond its wait after which a call that fails got no answer, ms; an open
 * connection may be cut at any moment before. */
export const LATE_MS = 250;

/** Time for a reader to read the store in a later era, ms: about the first pause
 * after a failed call. */
const ERA_PAUSE_MS = 500;

/** Pause while neither the store nor a ranked daemon answers, ms. */
const NO_SOURCE_PAUSE_MS = 300;

interface Avoided {
  readonly until: number;
  readonly attempts: number;
}

interface FollowerState {
  readonly deps: FollowerDeps;
  stopped: boolean;
  /** True when all keys must be read. */
  needsFullRead: boolean;
  /** True when other daemons must be asked for all items. */
  needsAllItems: boolean;
  /** Era of the changes that were handled last. */
  era: number;
  /** True once the store was found in a later era, until all items are known. */
  knowsLaterEra: boolean;
  /** Failed calls to the store since its last answer. */
  failedCalls: number;
  /** Monotonic time of the first of them, ms. */
  failingSince: number;
  stale: boolean;
  confirmedAt: number;
  /** Monotonic time at which the copy last matched the store, however old it was
   * when it was adopted, ms; undefined without a copy. */
  matchedAt: number | undefined;
  /** True when the faults since then show that the store is unavailable; one cut
   * connection does not. */
  unavailable: boolean;
  /** True when the load of this daemon does not explain those faults. */
  lost: boolean;
  /** True after a pause, which shortens the next watch. */
  paused: boolean;
  source: string;
  readonly avoided: Map<string, Avoided>;
}

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

function isAvoided({avoided, deps}: FollowerState, address: string): boolean {
  const entry = avoided.get(address);
  return entry !== undefined && deps.now() < entry.until;
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

function markFresh(state: FollowerState, matchedAt: number): void {
  const {deps} = state;
  const outageMs = readOutage(state);
  state.confirmedAt = Math.max(state.confirmedAt, matchedAt);
  markMatched(state, matchedAt);
  state.unavailable = false;
  state.lost = false;
  if (!state.stale) return;
  state.stale = false;
  deps.onRegained(outageMs);
}

function markMatched(state: FollowerState, matchedAt: number): void {
  state.matchedAt = Math.max(state.matchedAt ?? matchedAt, matchedAt);
}

/** Time for which the store has been unavailable since the copy matched it, ms;
 * 0 without a copy. */
function readOutage(state: FollowerState): number {
  const {deps, matchedAt, unavailable} = state;
  return unavailable && matchedAt !== undefined ? deps.now() - matchedAt : 0;
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

/** A call to the store. */
interface StoreCall {
  readonly startedAt: number;
  readonly isFullRead: boolean;
  /** Wait that the call asks for, ms. */
  readonly waitMs: number;
  /** Time for which the store may hold the answer, ms. */
  readonly heldMs: number;
  /** True once the follower no longer waits for the call. */
  abandoned: boolean;
}

/**
 * Reads all keys, or waits for changes when they have been read before; returns
 * true on success. A call that brings nothing for a while counts as failed, so
 * that one that an outage has left unanswered holds the follower up no longer than
 * that; if it is answered all the same, its answer is applied.
 */
async function readStore(
  state: FollowerState,
  waitMs: number,
): Promise<boolean> {
  const {deps, needsFullRead: isFullRead} = state;
  const hasCopy = deps.mirror.revision !== undefined;
  const heldMs = isFullRead ? 0 : waitMs;
  const call: StoreCall = {
    startedAt: deps.now(),
    isFullRead,
    waitMs,
    heldMs,
    abandoned: false,
  };
  const silentMs = hasCopy ? UNANSWERED_MS : UNANSWERED_START_MS;
  return new Promise(resolve => {
    const abandon = (): void => {
      call.abandoned = true;
      recordFailure(state, call, new Error('no answer yet'));
      resolve(false);
    };
    let cancel = setReplyTimeout(abandon, heldMs + silentMs);
    const onProgress = (): void => {
      cancel();
      if (!call.abandoned) cancel = setReplyTimeout(abandon, silentMs);
    };
    void finishCall(state, call, onProgress).then(ok => {
      cancel();
      resolve(ok);
    });
  });
}

/** Makes the call and handles its answer or failure; returns true on success. */
async function finishCall(
  state: FollowerState,
  call: StoreCall,
  onProgress: () => void,
): Promise<boolean> {
  const {store, mirror, now} = state.deps;
  const reading = {store, mirror, now, onProgress};
  try {
    const result = await (call.isFullRead
      ? readAllKeys(reading)
      : watchChanges(reading, call.waitMs));
    if (state.stopped) return false;
    return handleAnswer(state, call, result);
  } catch (err) {
    if (!state.stopped && !call.abandoned) {
      recordFailure(state, call, err as Error);
    }
    return false;
  }
}

function handleAnswer(
  state: FollowerState,
  {startedAt, waitMs, abandoned}: StoreCall,
  result: ReadResult | 'compacted' | 'laterEra',
): boolean {
  const {deps} = state;
  const {own} = deps.peers;
  state.avoided.delete(own);
  recordAnswer(state);
  if (typeof result === 'string') {
    const isReader = state.source === own;
    const isFirst = result === 'laterEra' && !state.knowsLaterEra;
    state.knowsLaterEra ||= result === 'laterEra';
    // The others ask their readers again before they read all keys themselves.
    state.needsFullRead = abandoned || isReader || !isFirst;
    return false;
  }
  state.needsFullRead = false;
  const {changes, matchedAt} = result;
  const now = deps.now();
  const elapsedMs = now - startedAt;
  const ageMs = now - matchedAt;
  deps.onAnswer({source: 'store', waitMs, elapsedMs, ageMs});
  markFresh(state, matchedAt);
  handleChanges(state, changes);
  return true;
}

function recordFailure(
  state: FollowerState,
  {startedAt, heldMs}: StoreCall,
  error: Error,
): void {
  const {deps, failedCalls} = state;
  avoid(state, deps.peers.own, STORE_RETRY_MS, startedAt + heldMs);
  // The history may hold many versions of a large value by now; a full read
  // returns only the latest one.
  state.needsFullRead = true;
  state.stale = true;
  const elapsedMs = deps.now() - startedAt;
  // The store holds no full read.
  const unanswered = elapsedMs > heldMs + LATE_MS;
  const isFirst = failedCalls === 0;
  state.unavailable ||= !isFirst || unanswered;
  // An overloaded daemon cannot tell a missing answer from one that it is late
  // to read.
  if (state.unavailable && !(unanswered && deps.isOverloaded())) {
    state.lost = true;
  }
  if (isFirst) state.failingSince = deps.now();
  state.failedCalls++;
  const outageMs = readOutage(state);
  deps.onFault({error, isFirst, elapsedMs, outageMs});
}

/** Ends a series of failed calls. */
function recordAnswer(state: FollowerState): void {
  const {deps, failedCalls, failingSince} = state;
  if (failedCalls === 0) return;
  state.failedCalls = 0;
  deps.onRecovered({failedCalls, elapsedMs: deps.now() - failingSince});
}

function handleChanges(state: FollowerState, changes: KeyChange[]): void {
  const {mirror, onChanges} = state.deps;
  const {era, replaced} = mirror;
  const isLater = era !== state.era;
  state.era = era;
  if (isLater) state.knowsLaterEra = false;
  onChanges(changes, isLater ? replaced : undefined);
}

function avoid(
  state: FollowerState,
  address: string,
  {shortest, longest}: {shortest: number; longest: number},
  since = state.deps.now(),
): void {
  const {avoided, deps} = state;
  const attempts = avoided.get(address)?.attempts ?? 0;
  const ms =
    shortest +
    computeBackoff(attempts, shortest, longest - shortest, deps.random);
  // Leaves time to ask others: they know whether the store fails them too.
  const until = Math.max(since + ms, deps.now() + shortest);
  avoided.set(address, {until, attempts: attempts + 1});
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
  await pause(NO_SOURCE_PAUSE_MS);
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
