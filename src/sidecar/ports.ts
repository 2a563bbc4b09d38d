import {once} from 'node:events';
import type {Server} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

/** Length of the queue of connections that wait to be accepted. */
const BACKLOG = 511;

/** Pause between two attempts to bind a port, ms. */
const RETRY_MS = 100;

/** Pause between two attempts to bind a port that no request needs, ms. */
const BACKGROUND_RETRY_MS = 1_000;

/** Interval at which a wait for a port is reported again, ms. */
export const REPORT_MS = 10_000;

/** Errors of binding that may go away while the process waits: another process
 * holds the port, the address is not assigned yet, or the system is short of
 * descriptors or memory. */
const TRANSIENT_CODES = new Set([
  'EADDRINUSE',
  'EADDRNOTAVAIL',
  'EMFILE',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
]);

/** Options of `openPort`. */
export interface PortOptions {
  /** True for a port that no request needs: each error is waited out. */
  readonly background?: boolean;
  /** Ends the wait; the call then rejects. */
  readonly signal?: AbortSignal;
  /** Called for the first error, for another one, and every `REPORT_MS`. */
  readonly onWait?: (code: string, waitedMs: number) => void;
  /** Called when an open port fails to accept a connection. */
  readonly onAcceptError?: (code: string) => void;
}

/**
 * Opens a port; waits for as long as the error may go away, since an earlier
 * process may hold the port for its whole grace time, or longer while it is
 * paused. Rejects for other errors. Resolves to the time waited, ms.
 */
export async function openPort(
  server: Server,
  port: number,
  host: string,
  options: PortOptions = {},
): Promise<number> {
  const {background = false, signal, onWait, onAcceptError} = options;
  const startedAt = performance.now();
  let reportedAt = -Infinity;
  let reportedCode = '';
  for (;;) {
    try {
      await bindPort(server, port, host);
      break;
    } catch (err) {
      const code = findCode(err);
      if (!background && !TRANSIENT_CODES.has(code)) throw err;
      const now = performance.now();
      if (code !== reportedCode || now - reportedAt >= REPORT_MS) {
        reportedAt = now;
        reportedCode = code;
        onWait?.(code, Math.round(now - startedAt));
      }
      const pauseMs = background ? BACKGROUND_RETRY_MS : RETRY_MS;
      await delay(pauseMs, undefined, {signal});
    }
  }
  // Without a listener such an error ends the process, though it may go away: the
  // system is out of memory, or a filter refuses the connection.
  server.on('error', err => onAcceptError?.(findCode(err)));
  if (signal?.aborted) await closePort(server);
  signal?.throwIfAborted();
  return Math.round(performance.now() - startedAt);
}

async function bindPort(
  server: Server,
  port: number,
  host: string,
): Promise<void> {
  server.listen(port, host, BACKLOG);
  // Removes its listeners also when it fails.
  await once(server, 'listening');
}

function findCode(err: unknown): string {
  return (err as NodeJS.ErrnoException).code ?? String(err);
}

/** Stops listening; resolves when all connections have ended. */
export function closePort(server: Server): Promise<void> {
  return new Promise(resolve => {
    if (server.listening) server.close(() => resolve());
    else resolve();
  });
}
