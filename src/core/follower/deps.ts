import type {Random} from '../../utils/random.js';
import type {StorePosition} from '../eras/position.js';
import type {KeyChange, MirrorState} from '../store_mirror.js';
import type {ReadDeps} from '../store_reads.js';

/** Answer of another daemon about the state of the store. */
export interface PeerUpdate {
  /** Monotonic time of this daemon at which the other's copy matched the store
   * at the earliest, ms. A time, as an age would grow while the answer is decoded
   * and applied. */
  readonly matchedAt: number;
  /** Undefined when it has nothing newer. */
  readonly state: MirrorState | undefined;
  /** Revision of its copy, if it has nothing newer and says so. */
  readonly revision?: number;
  /** Era of its copy, if it has nothing newer and the era is not 0. */
  readonly era?: number;
}

/** Other daemons that may know the state of the store. */
export interface StorePeers {
  /** Address of this daemon, in the form that `rank` returns. */
  readonly own: string;
  /** Addresses to ask, best first; for its own, a daemon reads the store. */
  rank(): readonly string[];
  /** Picks any daemon, for when no ranked one answers. */
  pickAny(): string | undefined;
  /** Resolves to undefined without a valid answer, and to `declined` when the
   * daemon wants others to be asked. */
  ask(
    address: string,
    after: StorePosition,
    waitMs: number,
  ): Promise<PeerUpdate | 'declined' | undefined>;
}

/** Answer to a read of the store or of another daemon's copy. */
export interface SourceAnswer {
  readonly source: 'store' | 'peer';
  /** Longest time for which the source was asked to hold its answer, ms. */
  readonly waitMs: number;
  /** Time from the start of the call to its answer, ms. */
  readonly elapsedMs: number;
  /** Age that was assumed for the answer, ms. */
  readonly ageMs: number;
}

/** A failed call to the store. */
export interface StoreFault {
  readonly error: Error;
  /** True when the call before succeeded. */
  readonly isFirst: boolean;
  /** Time from the start of the call to its failure, ms. */
  readonly elapsedMs: number;
  /** Time for which the store has been unavailable, ms. */
  readonly outageMs: number;
}

/** The end of a series of failed calls to the store. */
export interface StoreRecovery {
  readonly failedCalls: number;
  /** Time from the first failure to the answer, ms. */
  readonly elapsedMs: number;
}

/** Dependencies of a store follower. */
export interface FollowerDeps extends ReadDeps {
  readonly peers: StorePeers;
  /** Handles the changes of one call, which may be none; `replaced` is the position
   * of the copy if one of a later era has just replaced it. */
  readonly onChanges: (changes: KeyChange[], replaced?: StorePosition) => void;
  /** A call to the store failed. */
  readonly onFault: (fault: StoreFault) => void;
  /** A source or a handler has thrown; the follower goes on. */
  readonly onError: (err: Error) => void;
  /** The store answers this daemon again. */
  readonly onRecovered: (recovery: StoreRecovery) => void;
  /** The copy is fresh again after a fault, from any source; the store was
   * unavailable for `outageMs`. */
  readonly onRegained: (outageMs: number) => void;
  /** The source of updates has changed. */
  readonly onSource: (source: string) => void;
  /** A read was answered. */
  readonly onAnswer: (answer: SourceAnswer) => void;
  readonly random: Random;
  /** True when this daemon is late to read what has arrived. */
  readonly isOverloaded: () => boolean;
}

/** A running follower of the store. */
export interface StoreFollower {
  /** Time since the copy was last known to match the store, ms. */
  readAge(): number;
  /** True when this daemon's own reads of the store fail, for another reason
   * than its own load, and no daemon has a fresh copy for it. */
  isStoreLost(): boolean;
  stop(): void;
}
