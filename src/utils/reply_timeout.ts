/**
 * Calls `fn` after `ms`, once all input that has arrived by then is read. Node
 * runs timers before input, so with a plain timer a busy process takes answers
 * that wait in its socket buffers for missing. Returns a function that cancels
 * the call.
 */
export function setReplyTimeout(fn: () => void, ms: number): () => void {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(fn);
  }, ms);
  return () => {
    clearTimeout(timer);
    clearImmediate(immediate);
  };
}
