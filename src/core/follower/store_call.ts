import {setReplyTimeout} from '../../utils/reply_timeout.js';
import {readAllKeys, watchChanges, type ReadResult} from '../store_reads.js';
import {
  avoid,
  handleChanges,
  markFresh,
  readOutage,
  type FollowerState,
} from './state.js';

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

/** Time beyond its wait after which a call that fails got no answer, ms; an open
 * connection may be cut at any moment before. */
export const LATE_MS = 250;

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
export async function readStore(
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
      recordFailure(state, call, new Error('no answer yet'));
      call.abandoned = true;
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
  const {store, mirror, now, onError} = state.deps;
  const reading = {store, mirror, now, onProgress};
  let result: ReadResult | 'compacted' | 'laterEra';
  try {
    result = await (call.isFullRead
      ? readAllKeys(reading)
      : watchChanges(reading, call.waitMs));
  } catch (err) {
    recordFailure(state, call, err as Error);
    return false;
  }
  if (state.stopped) return false;
  try {
    return handleAnswer(state, call, result);
  } catch (err) {
    onError(err as Error);
    recordFailure(state, call, err as Error);
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

/** Records a failed call, once: an abandoned one may fail later too. */
function recordFailure(
  state: FollowerState,
  {startedAt, heldMs, abandoned}: StoreCall,
  error: Error,
): void {
  const {deps, failedCalls, stopped} = state;
  if (stopped || abandoned) return;
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
