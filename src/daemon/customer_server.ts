import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import type {Duplex} from 'node:stream';

/** Code of the error for a connection whose headers are overdue. */
export const HEADERS_OVERDUE = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Code of the error for an incomplete head for which there is no memory. */
export const HEADS_FULL = 'HEADS_FULL';

/** Time for which a connection that was ended is read on, ms, unless the
 * customer ends it too. */
const CLOSE_LINGER_MS = 1_000;

/** Requests of a connection without an answer above which it is not read on. */
const MAX_UNANSWERED = 32;

/** What a byte of a head in progress takes of the heap, bytes: it is copied once
 * to be forwarded. */
const HEAP_PER_BYTE = 2;

/** What a header name or value takes of the heap besides its bytes, bytes. Without
 * it heads of many short lines would take more than twice what they count for. */
const HEAP_PER_STRING = 75;

/** Names and values of a head that Node's parser keeps at most. */
const MAX_STRINGS = 2_064;

/** Least bytes of a name or value of a head, with its separator. */
const MIN_STRING_BYTES = 3;

/** Memory of the heap for the heads of requests that have no complete answer. */
export interface HeadBudget {
  readonly limitBytes: number;
  /** Estimated bytes of all heads. */
  usedBytes: number;
}

/** Measures the target and the headers of a request, bytes. */
export function measureHead({url = '', rawHeaders}: IncomingMessage): number {
  let bytes = url.length;
  for (const text of rawHeaders) bytes += text.length + 2;
  return bytes;
}

/** Estimates what the head of a request in progress takes of the heap, bytes. */
function estimateHeap(req: IncomingMessage): number {
  const {length} = req.rawHeaders;
  return measureHead(req) * HEAP_PER_BYTE + length * HEAP_PER_STRING;
}

/** Place of a request among those of its connection. */
export interface RequestTurn {
  /** Time that it waited for the answers to earlier requests, ms. */
  readonly waitedMs: number;
  /** False when there is no memory for its head. */
  readonly hasHeadRoom: boolean;
  /** True when no later request of the connection has been read. */
  isLast(): boolean;
}

/** Handlers of a server for customers. */
export interface CustomerHandlers {
  /** Serves a request; those before it on the connection were answered. */
  readonly handle: (
    req: IncomingMessage,
    res: ServerResponse,
    turn: RequestTurn,
  ) => void;
  /** Answers a malformed or overdue request and ends the writing side. */
  readonly answerError: (err: Error, socket: Duplex) => void;
  /** Called when a connection that the customer did not close ends before these
   * requests were answered. */
  readonly onCut?: (requests: readonly IncomingMessage[]) => void;
  /** Memory for heads; unlimited by default. */
  readonly heads?: HeadBudget;
}

/** Connections of customers. */
export interface CustomerConnections {
  /** Closes the connections on which nothing is in progress. */
  closeIdle(): void;
  /** Refuses incomplete heads, the largest first, while the memory for heads does
   * not hold all heads. */
  limitIncompleteHeads(): void;
  /** Number of open connections. */
  countOpen(): number;
  /** Number of connections whose customer may still receive the last bytes. */
  countEnding(): number;
}

interface Connection {
  readonly socket: Socket;
  /** Requests that were read and have no complete answer, in order. */
  readonly unanswered: Set<IncomingMessage>;
  /** Estimated heap of the heads that count, by request, bytes. */
  readonly headBytes: Map<IncomingMessage, number>;
  /** True while the connection is not read on. */
  paused: boolean;
  /** Latest request that was read. */
  latest?: IncomingMessage;
  /** Bytes read up to the end of the last answer. */
  readBytes: number;
  /** True once no further request is taken. */
  closing: boolean;
  /** True once the writing side was ended. */
  ended: boolean;
  /** Fault of the input, answered after the requests before it. */
  err?: Error;
}

/**
 * Serves customers, or other callers of a daemon. The requests of a connection
 * are served one after the other: an answer may close the connection, and a
 * request behind it that has reached its upstream would get none. Once a close is
 * certain, nothing more is taken from the connection, to which Node's parser
 * stays attached.
 */
export function serveCustomers(
  server: Server,
  {handle, answerError, onCut, heads}: CustomerHandlers,
): CustomerConnections {
  const connections = new Map<Duplex, Connection>();
  /** Connections whose timeout has passed and whose input is being read. */
  const overdue = new WeakSet<Duplex>();
  // Node runs timers before input, so a request may have arrived in time during
  // a pause of the process.
  const whenInputIsRead = (socket: Duplex, fn: () => void): void => {
    overdue.add(socket);
    setImmediate(() => {
      if (overdue.delete(socket)) fn();
    });
  };
  const hasHeadRoom = (): boolean =>
    !heads || heads.usedBytes <= heads.limitBytes;
  const countHead = ({headBytes}: Connection, req: IncomingMessage): void => {
    if (!heads) return;
    const bytes = estimateHeap(req);
    headBytes.set(req, bytes);
    heads.usedBytes += bytes;
  };
  const releaseHead = ({headBytes}: Connection, req: IncomingMessage): void => {
    if (heads) heads.usedBytes -= headBytes.get(req) ?? 0;
    headBytes.delete(req);
  };
  // The first request is left to be read: its body may not have come in yet.
  const mustWait = ({unanswered}: Connection): boolean =>
    unanswered.size > MAX_UNANSWERED || (unanswered.size > 1 && !hasHeadRoom());
  const answerFault = (connection: Connection, err: Error): void => {
    connection.ended = true;
    answerError(err, connection.socket);
    linger(connection);
  };
  const reject = (err: Error, socket: Duplex): void => {
    const connection = connections.get(socket);
    if (!connection || connection.closing) return;
    connection.closing = true;
    const [first] = connection.unanswered;
    if (!first) answerFault(connection, err);
    // The fault is in the body of that request, or the customer has left.
    else if (!first.complete || socket.readableEnded || !socket.writable) {
      socket.destroy();
    } else connection.err = err;
  };
  const start = (
    connection: Connection,
    req: IncomingMessage,
    res: ServerResponse,
    waitedMs: number,
  ): void => {
    const {socket, unanswered, err} = connection;
    // The customer has left while an answer was written.
    if (!socket.writable) return;
    if (err && !req.complete) {
      unanswered.clear();
      answerFault(connection, err);
      return;
    }
    handle(req, res, {
      waitedMs,
      hasHeadRoom: hasHeadRoom(),
      isLast: () => connection.latest === req,
    });
    res.once('close', () => {
      if (res.writableFinished) unanswered.delete(req);
      connection.readBytes = socket.bytesRead;
      releaseHead(connection, req);
      // An idle connection would hold the head of its last request.
      if (connection.latest === req) connection.latest = undefined;
      if (connection.paused && !mustWait(connection)) {
        connection.paused = false;
        socket.resume();
      }
      const {err, ended} = connection;
      if (err && !ended && unanswered.size === 0) answerFault(connection, err);
    });
  };
  server.on('connection', (socket: Socket) => {
    const connection: Connection = {
      socket,
      unanswered: new Set(),
      headBytes: new Map(),
      paused: false,
      readBytes: 0,
      closing: false,
      ended: false,
    };
    connections.set(socket, connection);
    socket.destroySoon = () => endConnection(connection);
    socket.once('close', () => {
      connections.delete(socket);
      const {unanswered, headBytes} = connection;
      for (const req of headBytes.keys()) releaseHead(connection, req);
      const byCustomer = socket.readableEnded || socket.errored;
      if (!byCustomer && unanswered.size > 0) onCut?.([...unanswered]);
    });
  });
  server.on('request', (req, res) => {
    const {socket} = req;
    overdue.delete(socket);
    const connection = connections.get(socket);
    if (!connection || connection.closing) {
      req.resume();
      return;
    }
    connection.unanswered.add(req);
    connection.latest = req;
    countHead(connection, req);
    if (mustWait(connection)) {
      // Node's parser resumes the connection at the end of each request.
      setImmediate(() => {
        if (!mustWait(connection) || connection.ended) return;
        connection.paused = true;
        socket.pause();
      });
    }
    const readAt = performance.now();
    // Node assigns the socket to a response when those before it are written.
    if (res.socket) start(connection, req, res, 0);
    else {
      res.once('socket', () =>
        start(connection, req, res, performance.now() - readAt),
      );
    }
  });
  server.on('connect', (_req, socket) => {
    // Node has removed its parser and its listeners from the connection.
    socket.on('error', () => socket.destroy());
    socket.resume();
    reject(new Error('CONNECT is not supported'), socket);
  });
  server.on('clientError', (err: NodeJS.ErrnoException, socket: Duplex) => {
    if (err.code !== HEADERS_OVERDUE) reject(err, socket);
    // While a request is in progress, the overdue head is that of a later one.
    else if (!isBusy(connections.get(socket))) {
      whenInputIsRead(socket, () => reject(err, socket));
    }
  });
  server.on('timeout', socket => {
    const connection = connections.get(socket);
    if (!connection || isBusy(connection)) return;
    whenInputIsRead(socket, () => endConnection(connection));
  });
  return {
    closeIdle() {
      for (const connection of connections.values()) {
        if (!isIdle(connection)) continue;
        whenInputIsRead(connection.socket, () => {
          if (isIdle(connection)) endConnection(connection);
        });
      }
    },
    limitIncompleteHeads() {
      if (!heads) return;
      const incomplete = [...connections.values()]
        .map(connection => ({
          connection,
          bytes: estimateIncomplete(connection),
        }))
        .filter(({bytes}) => bytes > 0)
        .sort((a, b) => b.bytes - a.bytes);
      let excessBytes = heads.usedBytes - heads.limitBytes;
      for (const {bytes} of incomplete) excessBytes += bytes;
      for (const {connection, bytes} of incomplete) {
        if (excessBytes <= 0) break;
        excessBytes -= bytes;
        const err = new Error('no memory for the headers of the request');
        reject(Object.assign(err, {code: HEADS_FULL}), connection.socket);
      }
    },
    countOpen: () => connections.size,
    countEnding: () =>
      [...connections.values()].filter(({ended}) => ended).length,
  };
}

function isBusy(connection: Connection | undefined): boolean {
  return connection !== undefined && connection.unanswered.size > 0;
}

/** True when no request is in progress and no part of one was read. */
function isIdle(connection: Connection): boolean {
  const {socket, readBytes} = connection;
  return !isBusy(connection) && socket.bytesRead === readBytes;
}

/** Estimates what an incomplete head takes of the heap at most: its lines may be
 * short, and the parser has made a string of each name and value. */
function estimateIncomplete(connection: Connection): number {
  const bytes = measureIncomplete(connection);
  const strings = Math.min(MAX_STRINGS, bytes / MIN_STRING_BYTES);
  return bytes * HEAP_PER_BYTE + strings * HEAP_PER_STRING;
}

/** Measures a head that was read in part while no request is in progress, bytes. */
function measureIncomplete(connection: Connection): number {
  const {socket, readBytes, closing} = connection;
  return closing || isBusy(connection) ? 0 : socket.bytesRead - readBytes;
}

/**
 * Ends the writing side and reads on: closing a connection whose input is unread
 * resets it, which discards what the customer has not received yet.
 */
function endConnection(connection: Connection): void {
  const {socket, unanswered, ended} = connection;
  if (ended) return;
  connection.closing = true;
  connection.ended = true;
  for (const req of unanswered) req.resume();
  socket.resume();
  socket.end(() => linger(connection));
}

function linger({socket}: Connection): void {
  if (socket.destroyed) return;
  const timer = setTimeout(() => socket.destroy(), CLOSE_LINGER_MS);
  socket.once('close', () => clearTimeout(timer));
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
