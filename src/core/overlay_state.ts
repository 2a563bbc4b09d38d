/** State of choosing and dialling peers. */
export interface OverlayState {
  /** Dials under way by peer id, with the monotonic start, ms. */
  readonly dials: Map<string, number>;
  /** Peers that accept no more links, with the time until which, ms. */
  readonly refusedUntil: Map<string, number>;
  /** Time of the next redial by lost data centre, ms. */
  readonly lostRedialAt: Map<string, number>;
  /** Rendezvous weights by peer id. */
  readonly weights: Map<string, number>;
  /** Dials made in a row while no peer was live. */
  isolatedTries: number;
  nextIsolatedAt: number;
  nextTrimAt: number;
  /** Time of the next look at the member table, ms. */
  nextScanAt: number;
}

/** Creates the state of a daemon that has dialled nobody. */
export function createOverlayState(): OverlayState {
  return {
    dials: new Map(),
    refusedUntil: new Map(),
    lostRedialAt: new Map(),
    weights: new Map(),
    isolatedTries: 0,
    nextIsolatedAt: 0,
    nextTrimAt: 0,
    nextScanAt: 0,
  };
}
