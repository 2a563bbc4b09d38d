import type {ExecutionContext} from 'ava';
import {
  createMirror,
  FRESH_MS,
  POLL_MS,
  rankReaders,
  readMirror,
  startStoreFollower,
  type KeyChange,
  type KeyValueStore,
  type PeerUpdate,
  type StoreFollower,
  type StoreMirror,
  type StorePosition,
} from '../../src/internal.js';
import {isUnchanged} from '../../platform/decode.js';
import type {FakeStore} from '../../standins/kv_store.js';

/** One daemon that follows the store, with switches for its faults. */
export interface Daemon {
  readonly name: string;
  readonly mirror: StoreMirror;
  readonly known: Map<string, string>;
  readonly events: string[];
  /** Number of changes that it has handled. */
  readonly changeCount: () => number;
  follow: StoreFollower;
  /** While set, the daemon does not answer, as after a power loss. */
  silent: boolean;
  /** While set, it cannot reach the store; its calls fail only on timeout. */
  cut: boolean;
  /** While set, it is late to read what has arrived. */
  overloaded: boolean;
  /** Time for which answers of the store are on the way or wait unread, ms. */
  wayMs: number;
  /** Time that it takes to apply a changed value, ms. */
  applyMs: number;
  /** Total of these times, by which its clock is ahead of the others, ms. */
  appliedMs: number;
  /** Least age that its copy had right after a change was applied, ms. */
  leastAgeMs: number;
}

/** Timeout of a call that the store does not answer, ms. */
const CALL_MS = 500;

/** Time beyond its wait after which a poll without an answer ends, ms. */
const ANSWER_MARGIN_MS = 400;

/** Starts daemons of one data centre on one store. */
export function startDaemons(
  t: ExecutionContext,
  names: readonly string[],
  store: FakeStore,
  {
    others = [] as Daemon[],
    cut = false,
    rank = (name: string) => rankReaders('dc', names, name),
    isApart = undefined as ((from: string, to: string) => boolean) | undefined,
    /** Store as a daemon calls it. */
    watchStore = undefined as ((name: string) => KeyValueStore) | undefined,
    random = (): number => 0.5,
  } = {},
): Daemon[] {
  const daemons = [...others];
  const wait = (ms: number) =>
    new Promise<void>(resolve => setTimeout(resolve, ms));
  const ask = async (
    from: string,
    address: string,
    {era, revision: after}: StorePosition,
    waitMs: number,
  ): Promise<PeerUpdate | 'declined' | undefined> => {
    const daemon = daemons.find(
      ({name}) => name === address && !isApart?.(from, name),
    );
    const endAt = performance.now() + waitMs;
    const readMatchedAt = () =>
      performance.now() - (daemon?.follow.readAge() ?? 0);
    const askedMatch = readMatchedAt();
    while (performance.now() < endAt) {
      if (daemon && !daemon.silent) {
        if (era > daemon.mirror.era) return 'declined';
        if (readMirror(daemon.mirror, after, era)) break;
        if (daemon.follow.readAge() > FRESH_MS) break;
        // A copy that was confirmed without a change, as in `answerOldPolls`.
        if (readMatchedAt() - askedMatch >= POLL_MS / 2) break;
      }
      await wait(10);
    }
    if (!daemon || daemon.silent) {
      await wait(ANSWER_MARGIN_MS);
      return undefined;
    }
    const asker = daemons.find(({name}) => name === from);
    const matchedAt = readMatchedAt() + (asker?.appliedMs ?? 0);
    const state = readMirror(daemon.mirror, after, era);
    const revision = state ? undefined : daemon.mirror.revision;
    return {matchedAt, state, revision, era: daemon.mirror.era};
  };
  for (const name of names) {
    const known = new Map<string, string>();
    const events: string[] = [];
    let changeCount = 0;
    const mirror = createMirror('k/', (key, before, after) => {
      daemon.appliedMs += daemon.applyMs;
      return isUnchanged(key.slice(2), before, after);
    });
    const failWhenCut = async (endAt: number) => {
      if (!daemon.cut) return;
      await wait(endAt - performance.now());
      throw new Error('no answer');
    };
    const daemon: Daemon = {
      name,
      mirror,
      known,
      events,
      changeCount: () => changeCount,
      silent: false,
      cut,
      overloaded: false,
      wayMs: 0,
      applyMs: 0,
      appliedMs: 0,
      leastAgeMs: Infinity,
      follow: undefined as unknown as StoreFollower,
    };
    const calledStore = watchStore?.(name) ?? store;
    daemon.follow = startStoreFollower({
      store: {
        ...calledStore,
        readPage: async (prefix, after, onProgress) => {
          await failWhenCut(performance.now() + CALL_MS);
          const page = await calledStore.readPage(prefix, after, onProgress);
          await wait(daemon.wayMs);
          return page;
        },
        watch: async (prefix, after, waitMs) => {
          const endAt = performance.now() + waitMs + CALL_MS;
          await failWhenCut(endAt);
          const reply = await calledStore.watch(prefix, after, waitMs);
          // A connection that is cut during the call returns nothing.
          await failWhenCut(endAt);
          await wait(daemon.wayMs);
          return reply;
        },
      },
      mirror,
      peers: {
        own: name,
        rank: () => rank(name),
        pickAny: () => {
          const others = daemons.filter(other => other.name !== name);
          return others[Math.floor(random() * others.length)]?.name;
        },
        ask: (address, after, waitMs) => ask(name, address, after, waitMs),
      },
      onChanges: (changes: KeyChange[]) => {
        changeCount += changes.length;
        if (changes.length > 0) {
          const ageMs = daemon.follow.readAge();
          daemon.leastAgeMs = Math.min(daemon.leastAgeMs, ageMs);
        }
        for (const {key, value} of changes) {
          if (value === undefined) known.delete(key);
          else known.set(key, value.toString());
        }
      },
      onFault: ({error, isFirst}) => {
        if (isFirst) events.push(error.message);
      },
      onError: err => events.push(err.message),
      onRecovered: () => events.push('recovered'),
      onRegained: () => events.push('regained'),
      onSource: () => undefined,
      onAnswer: () => undefined,
      random,
      isOverloaded: () => daemon.overloaded,
      now: () => performance.now() + daemon.appliedMs,
    });
    t.teardown(() => daemon.follow.stop());
    daemons.push(daemon);
  }
  return daemons.slice(others.length);
}
