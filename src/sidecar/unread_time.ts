import type {Socket} from 'node:net';
import type {LoopLag} from '../internal.js';

/** Bounds the time for which requests waited unread in a process. */
export interface UnreadTime {
  /** Records a connection that was just accepted. */
  recordAccept(socket: Socket): void;
  /** Time that the request read now from a connection may have waited, ms. */
  read(socket: Socket): number;
}

/** Creates the meter from the lag of the event loop and monotonic time, ms. */
export function createUnreadTime(lag: LoopLag, now: () => number): UnreadTime {
  const accepted = new WeakMap<Socket, {at: number; lagMs: number}>();
  return {
    recordAccept(socket) {
      accepted.set(socket, {at: now(), lagMs: lag.read()});
    },
    read(socket) {
      const lagMs = lag.read();
      const accept = accepted.get(socket);
      if (!accept) return lagMs;
      accepted.delete(socket);
      // The first request of a connection also waits until the connection is
      // accepted, unless its sender was idle in between.
      const sentAtOnce = now() - accept.at <= lagMs;
      return sentAtOnce ? lagMs + accept.lagMs : lagMs;
    },
  };
}
