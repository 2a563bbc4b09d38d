/** State of reading the configuration service. */
export interface ReaderState {
  /** True while a read is pending. */
  pending: boolean;
  /** Monotonic time of our newest successful reply, ms. */
  succeededAt?: number;
  failures: number;
  /** Earliest monotonic time of the next read, ms. */
  nextReadAt: number;
}

/** Creates the state of a daemon that has not read yet. */
export function createReaderState(): ReaderState {
  return {pending: false, failures: 0, nextReadAt: 0};
}
