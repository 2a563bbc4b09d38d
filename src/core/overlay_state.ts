/** State of peer selection and dialling. */
export interface OverlayState {
  /** Monotonic start times of pending dials by peer id, ms. */
  readonly dials: Map<string, number>;
  /** Earliest redial time by id of a peer that refused a link, ms. */
  readonly refusedUntil: Map<string, number>;
  /** Next redial time by lost data centre, ms. */
  readonly lostRedialAt: Map<string, number>;
  /** Rendezvous weights by peer id. */
  readonly weights: Map<string, number>;
  /** Consecutive attempts made without a live peer. */
  isolatedTries: number;
  nextIsolatedAt: number;
  /** Earliest time to close the next surplus link, ms. */
  nextTrimAt: number;
  /** Time of the next peer selection, ms. */
  nextScanAt: number;
}

/** Creates the initial state, without any dials. */
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
