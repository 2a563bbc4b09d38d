import type {IncomingMessage, RequestListener, Server} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
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
  /** Called when a connection that the customer did not close ends before these
   * requests were answered. */
  readonly onCut?: (requests: readonly IncomingMessage[]) => void;
}

/** Connections of customers. */
export interface CustomerConnections {
  /** Closes the connections on which nothing is in progress. */
  closeIdle(): void;
}

/**
 * Serves customers so that nothing runs after an error answer, which promises
 * that. Node's parser stays attached to the connection and goes on.
 */
export function serveCustomers(
  server: Server,
  {handle, isBusy, answerError, onCut}: CustomerHandlers,
): CustomerConnections {
  /** Requests of a connection that were read and have no complete answer. */
  const unanswered = new WeakMap<Socket, Set<IncomingMessage>>();
  /** Open connections, with the bytes read up to the end of the last request. */
  const readBytes = new Map<Socket, number>();
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
  const isIdle = (socket: Socket): boolean =>
    !isBusy(socket) && socket.bytesRead === readBytes.get(socket);
  server.on('connection', (socket: Socket) => {
    readBytes.set(socket, 0);
    const requests = new Set<IncomingMessage>();
    unanswered.set(socket, requests);
    socket.once('close', () => {
      readBytes.delete(socket);
      const byCustomer = socket.readableEnded || socket.errored;
      if (!byCustomer && requests.size > 0) onCut?.([...requests]);
    });
  });
  server.on('request', (req, res) => {
    const {socket} = req;
    overdue.delete(socket);
    if (rejected.has(socket)) return;
    const requests = unanswered.get(socket);
    requests?.add(req);
    handle(req, res);
    res.once('close', () => {
      if (res.writableFinished) requests?.delete(req);
      if (!socket.destroyed) readBytes.set(socket, socket.bytesRead);
    });
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
  return {
    closeIdle() {
      for (const socket of readBytes.keys()) {
        if (!isIdle(socket)) continue;
        whenInputIsRead(socket, () => {
          if (isIdle(socket)) socket.destroy();
        });
      }
    },
  };
}

/**
 * Stops listening; resolves when all connections have ended. `close` of an HTTP
 * server would also close connections whose answer has been ended but is still
 * being written.
 */
export function stopListening(server: Server): Promise<void> {
  return new Promise(resolve => {
    NetServer.prototype.close.call(server, () => resolve());
  });
}
