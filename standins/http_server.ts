import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/** Handler of one HTTP request of a stand-in. */
export type Handler = (req: IncomingMessage, res: ServerResponse) => void;

/** HTTP server that can drop every connection at once and listen again. */
export interface HttpServer {
  /** Open sockets. */
  readonly sockets: ReadonlySet<Socket>;
  /** Port after the first `listen`, 0 before. */
  port(): number;
  /** Base URL without a trailing slash. */
  url(): string;
  /** Starts to listen; a later call without a port uses the same port again. */
  listen(port?: number): Promise<string>;
  /** Closes the listening socket and destroys all connections. */
  close(): Promise<void>;
}

/** Creates a server on 127.0.0.1; `onSocket` may refuse a new connection. */
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

/** Answers with JSON. */
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

/** Parses the path and the query of a request. */
export function parseUrl(req: IncomingMessage): URL {
  return new URL(req.url ?? '/', 'http://localhost');
}

/** Non-negative integer of a query parameter, or the fallback. */
export function readNumber(url: URL, name: string, fallback: number): number {
  const text = url.searchParams.get(name);
  return text !== null && /^\d{1,12}$/.test(text) ? Number(text) : fallback;
}
