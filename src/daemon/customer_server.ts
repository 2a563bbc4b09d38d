import type {RequestListener, Server} from 'node:http';
import type {Duplex} from 'node:stream';

/** Code of the error for a connection whose headers are overdue. */
export const HEADERS_OVERDUE = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Time for which a connection that was answered with an error may stay half
 * open, ms: closing it at once could discard the answer at the customer. */
const REJECTED_LINGER_MS = 1_000;

/** Handlers of a server for customers. */
export interface CustomerHandlers {
  readonly handle: RequestListener;
  /** True while a request of the connection is in progress. */
  readonly isBusy: (socket: Duplex) => boolean;
  /** Answers a malformed or overdue request and ends the writing side. */
  readonly answerError: (err: Error, socket: Duplex) => void;
}

/**
 * Serves customers so that nothing runs after an error answer, which promises
 * that. Node's parser stays attached to the connection and goes on.
 */
export function serveCustomers(
  server: Server,
  {handle, isBusy, answerError}: CustomerHandlers,
): void {
  /** Connections whose timeout has passed and whose input is being read. */
  const overdue = new WeakSet<Duplex>();
  /** Connections that were answered with an error. */
  const rejected = new WeakSet<Duplex>();
  // Node runs timers before input, so a request may have arrived in time during
  // a pause of the process.
  const whenInputIsRead = (socket: Duplex, fn: () => void): void => {
    overdue.add(socket);
    setImmediate(() => {
      if (overdue.delete(socket)) fn();
    });
  };
  const reject = (err: Error, socket: Duplex): void => {
    if (isBusy(socket)) {
      socket.destroy();
      return;
    }
    rejected.add(socket);
    answerError(err, socket);
    const timer = setTimeout(() => socket.destroy(), REJECTED_LINGER_MS);
    socket.once('close', () => clearTimeout(timer));
  };
  server.on('request', (req, res) => {
    overdue.delete(req.socket);
    if (!rejected.has(req.socket)) handle(req, res);
  });
  server.on('clientError', (err: NodeJS.ErrnoException, socket: Duplex) => {
    if (err.code !== HEADERS_OVERDUE) reject(err, socket);
    // While a request is in progress, the overdue head is that of a later one.
    else if (!isBusy(socket)) {
      whenInputIsRead(socket, () => reject(err, socket));
    }
  });
  server.on('timeout', socket => {
    whenInputIsRead(socket, () => socket.destroy());
  });
}
