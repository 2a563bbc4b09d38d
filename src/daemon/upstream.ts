import {connect} from 'node:net';
import {Pool, type Dispatcher} from 'undici';

/** Connect timeout of the upstream, ms. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Request to the upstream. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string | string[]>;
  readonly body: Buffer;
}

/** Headers of an answer; repeated headers are lists. */
export type AnswerHeaders = Record<string, string | string[] | undefined>;

/** Receives an answer as it is streamed. */
export interface AnswerSink {
  onHead(status: number, headers: AnswerHeaders): void;
  /** Returns false to pause until `resume` is called. */
  onData(chunk: Buffer, resume: () => void): boolean;
}

/**
 * Result of an exchange. `written` is false only if no byte of the request was
 * passed to a connection; `aborted` is true if the signal was aborted.
 */
export type ExchangeResult =
  | {complete: true}
  | {complete: false; written: boolean; aborted: boolean; code: string};

/** Client of the local upstream. */
export interface Upstream {
  /** Sends once, without retries. Aborting closes the connection. */
  send(
    request: UpstreamRequest,
    sink: AnswerSink,
    signal: AbortSignal,
  ): Promise<ExchangeResult>;
  /** Opens a new connection; true if it was refused. */
  refusesConnections(): Promise<boolean>;
  /** Sends `GET /health`; true if any answer was received. */
  probe(): Promise<boolean>;
  setConnections(connections: number): void;
  close(): Promise<void>;
}

/** Creates the client; `url` is the origin of the upstream. */
export function createUpstream(url: string, connections: number): Upstream {
  const origin = new URL(url);
  let pool = createPool(origin, connections);
  let size = connections;
  return {
    send: (request, sink, signal) => sendOnce(pool, request, sink, signal),
    refusesConnections: () => refusesConnections(origin),
    probe: () => probe(origin),
    setConnections(newSize) {
      if (newSize === size) return;
      size = newSize;
      const oldPool = pool;
      pool = createPool(origin, newSize);
      void oldPool.close();
    },
    close: () => pool.close(),
  };
}

function createPool(origin: URL, connections: number): Pool {
  // The owner sets a deadline on every exchange. The timeouts of the client
  // are off because they would cut long downloads.
  return new Pool(origin.origin, {
    connections,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: {timeout: CONNECT_TIMEOUT_MS},
  });
}

function sendOnce(
  pool: Pool,
  request: UpstreamRequest,
  sink: AnswerSink,
  signal: AbortSignal,
): Promise<ExchangeResult> {
  return new Promise(resolve => {
    let written = false;
    let controller: Dispatcher.DispatchController | undefined;
    const abort = () => controller?.abort(new Error('aborted by the owner'));
    const finish = (exchange: ExchangeResult) => {
      signal.removeEventListener('abort', abort);
      resolve(exchange);
    };
    signal.addEventListener('abort', abort);
    const handler: Dispatcher.DispatchHandler = {
      // Called when a connection is open, just before the first byte is sent.
      onRequestStart(started) {
        controller = started;
        // The client may resend a request on another connection after a reset,
        // but a request must never be written twice.
        if (signal.aborted || written) abort();
        else written = true;
      },
      onResponseStart(_, status, headers) {
        if (status >= 200) sink.onHead(status, headers);
      },
      onResponseData(flow, chunk) {
        if (!sink.onData(chunk, () => flow.resume())) flow.pause();
      },
      onResponseEnd: () => finish({complete: true}),
      onResponseError(_, err: NodeJS.ErrnoException) {
        const {aborted} = signal;
        finish({complete: false, written, aborted, code: err.code ?? ''});
      },
    };
    const {method, path, headers, body} = request;
    pool.dispatch(
      {
        method: method as Dispatcher.HttpMethod,
        path,
        headers,
        body: body.length > 0 ? body : null,
      },
      handler,
    );
  });
}

function refusesConnections(origin: URL): Promise<boolean> {
  return new Promise(resolve => {
    const port = Number(origin.port || 80);
    const socket = connect({host: origin.hostname, port});
    const finish = (refused: boolean) => {
      socket.destroy();
      resolve(refused);
    };
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => finish(false));
    socket.on('connect', () => finish(false));
    socket.on('error', (err: NodeJS.ErrnoException) =>
      finish(err.code === 'ECONNREFUSED'),
    );
  });
}

async function probe(origin: URL): Promise<boolean> {
  // Uses a separate pool so that the probe does not queue behind requests.
  const pool = new Pool(origin.origin, {
    connections: 1,
    headersTimeout: CONNECT_TIMEOUT_MS,
    bodyTimeout: CONNECT_TIMEOUT_MS,
    connect: {timeout: CONNECT_TIMEOUT_MS},
  });
  try {
    const {body} = await pool.request({path: '/health', method: 'GET'});
    await body.dump();
    return true;
  } catch {
    return false;
  } finally {
    await pool.destroy();
  }
}
