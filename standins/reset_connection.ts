import type {Socket} from 'node:net';

/**
 * Resets a connection. One whose writing side has been ended is closed instead:
 * Node fails to reset it while its end is being sent, and never closes its handle,
 * which keeps the process from exiting.
 */
export function resetConnection(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
