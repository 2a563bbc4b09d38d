/** A callback and its due time. */
export interface QueuedEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Queue of events by time; equal times keep the order of insertion. */
export interface EventQueue {
  push(at: number, run: () => void): void;
  /** Removes and returns the first event that is due by `end`. */
  popUntil(end: number): QueuedEvent | undefined;
}

/** Creates an empty queue; a binary heap, as large runs hold many events. */
export function createEventQueue(): EventQueue {
  const heap: QueuedEvent[] = [];
  let order = 0;
  const isBefore = (a: QueuedEvent, b: QueuedEvent): boolean =>
    a.at < b.at || (a.at === b.at && a.order < b.order);
  const swap = (i: number, j: number): void => {
    [heap[i], heap[j]] = [heap[j], heap[i]];
  };
  const siftDown = (): void => {
    for (let i = 0; ;) {
      let smallest = i;
      for (const child of [2 * i + 1, 2 * i + 2]) {
        if (child < heap.length && isBefore(heap[child], heap[smallest])) {
          smallest = child;
        }
      }
      if (smallest === i) return;
      swap(i, smallest);
      i = smallest;
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
        siftDown();
      }
      return first;
    },
  };
}
