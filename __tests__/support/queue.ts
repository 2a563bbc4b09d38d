/** Work that is due at a time. */
export interface QueuedEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Events by time; equal times run in order of insertion. */
export interface Queue {
  push(at: number, run: () => void): void;
  /** Removes and returns the first event that is due by `end`. */
  popUntil(end: number): QueuedEvent | undefined;
}

/** Creates an empty queue: a binary heap, because large runs hold many. */
export function createQueue(): Queue {
  const heap: QueuedEvent[] = [];
  let order = 0;
  const isBefore = (a: QueuedEvent, b: QueuedEvent): boolean =>
    a.at < b.at || (a.at === b.at && a.order < b.order);
  const swap = (i: number, j: number): void => {
    [heap[i], heap[j]] = [heap[j], heap[i]];
  };
  const sink = (): void => {
    for (let i = 0; ;) {
      let least = i;
      for (const child of [2 * i + 1, 2 * i + 2]) {
        if (child < heap.length && isBefore(heap[child], heap[least])) {
          least = child;
        }
      }
      if (least === i) return;
      swap(i, least);
      i = least;
    }
  };
  return {
    push(at, run) {
      heap.push({at, order: order++, run});
      for (let i = heap.length - 1; i > 0;) {
        const parent = (i - 1) >> 1;
        if (!isBefore(heap[i], heap[parent])) return;
        swap(i, parent);
        i = parent;
      }
    },
    popUntil(end) {
      if (heap.length === 0 || heap[0].at > end) return undefined;
      const first = heap[0];
      const last = heap.pop()!;
      if (heap.length > 0) {
        heap[0] = last;
        sink();
      }
      return first;
    },
  };
}
