import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/** Handles one HTTP request. */
export type Handler = (req: IncomingMessage, res: ServerResponse) => void;

/** HTTP server that can close all connections and restart on its port. */
export interface HttpServer {
  /** Open sockets. */
  readonly sockets: ReadonlySet<Socket>;
  /** Port, or 0 before the first `listen`. */
  port(): number;
  /** Base URL without a trailing slash. */
  url(): string;
  /** Starts listening; without `port`, reuses the previous one if any. */
  listen(port?: number): Promise<string>;
  /** Closes the listening socket and destroys all connections. */
  close(): Promise<void>;
}

/** Creates a server on 127.0.0.1; `onSocket` may reject new connections. */
export function createHttpServer(
  handler: Handler,
  onSocket?: (socket: Socket, open: number) => void,
): HttpServer {
  const sockets = new Set<Socket>();
  let server: Server | undefined;
  let port = 0;

  function open(): Server {
    const created = createServer({keepAliveTimeout: 60_000}, handler);
    created.on('connection', socket => {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
      onSocket?.(socket, sockets.size);
    });
    return created;
  }

  function listen(requestedPort = port): Promise<string> {
    const created = open();
    server = created;
    return new Promise((resolve, reject) => {
      created.once('error', reject);
      created.listen(requestedPort, '127.0.0.1', () => {
        port = (created.address() as AddressInfo).port;
        resolve(url());
      });
    });
  }

  function url(): string {
    return `http://127.0.0.1:${port}`;
  }

  async function close(): Promise<void> {
    const closing = server;
    server = undefined;
    if (!closing) return;
    const closed = new Promise<void>(resolve => {
      closing.close(() => resolve());
    });
    for (const socket of sockets) socket.destroy();
    await closed;
  }

  return {sockets, port: () => port, url, listen, close};
}

/** Sends a JSON response; returns the size of its body in bytes. */
export function sendJson(
  res: ServerResponse,
  status: number,
  value: unknown,
  headers: Record<string, string> = {},
): number {
  const body = Buffer.from(JSON.stringify(value));
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
    ...headers,
  });
  res.end(body);
  return body.length;
}

/** Parses the request URL. */
export function parseUrl(req: IncomingMessage): URL {
  return new URL(req.url ?? '/', 'http://localhost');
}

/** Returns a query parameter as a non-negative integer, or the fallback. */
export function readNumber(url: URL, name: string, fallback: number): number {
  const text = url.searchParams.get(name);
  return text !== null && /^\d{1,12}$/.test(text) ? Number(text) : fallback;
}
