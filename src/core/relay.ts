/** State of the exchange of entries and checkpoints with peers. */
export interface RelayState {
  /** Peers that are being sent a checkpoint, with the monotonic start, ms. */
  readonly transfers: Map<string, number>;
}

/** Creates the state of a daemon without transfers. */
export function createRelayState(): RelayState {
  return {transfers: new Map()};
}
