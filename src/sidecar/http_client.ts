import type {IncomingHttpHeaders} from 'node:http';
import {buildConnector, Pool, type Dispatcher} from 'undici';
import {
  type AnswerBudget,
  type PendingAnswer,
  chargeAnswer,
  createAnswerBudget,
  keepAnswer,
  predictAnswerBytes,
  releaseAnswer,
} from './answer_budget.js';
import {ChunkList} from './chunk_list.js';

/** Maximum size of a buffered answer, bytes; larger ones count as broken. */
export const MAX_ANSWER_BYTES = 33_554_432;

/** Idle time after which a connection pool is closed, ms. */
const POOL_IDLE_MS = 30_000;

/** Request from a daemon to another daemon or to its upstream. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /**
   * Route of a customer's request. Memory for its answer is set aside by the
   * sizes of earlier ones, and the answer counts until it is released; others
   * count while they are received.
   */
  readonly route?: string;
  /**
   * Tells from its head whether an answer belongs to the request; by default
   * each one does. Any other answer ends the call as broken and closes the
   * connection, on which later answers would be those of earlier requests.
   */
  readonly isOwnAnswer?: (head: AnswerHead) => boolean;
  /** True when the connection is closed after the answer. */
  readonly closes?: boolean;
  /**
   * Called when a connection is open, just before the first byte is written.
   * Without its consent the call ends as `unsent`, with `WITHDRAWN`.
   */
  readonly beforeWrite?: () => boolean;
}

/** Code of a call that ended before its first byte was written. */
export const WITHDRAWN = 'WITHDRAWN';

/** Head of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/** Code of a call that got the answer to another request. */
export const CROSSED_ANSWER = 'CROSSED_ANSWER';

/** Lowest status of HTTP; upstreams in trouble have sent 000. */
const MIN_STATUS = 100;

/** Code of a call whose answer has a status that HTTP does not define. */
const INVALID_STATUS = 'INVALID_STATUS';

/** Complete answer. One without a length is complete when its connection ended in
 * order. */
export interface HttpAnswer extends AnswerHead {
  readonly body: Buffer;
  /** Releases the memory that the answer counts for. */
  readonly release: () => void;
}

/**
 * Result of a call. `unsent`: no byte was written; `broken`: the request was
 * written and no complete answer came; `aborted`: ended by this daemon.
 */
export type HttpResult =
  | {kind: 'answer'; answer: HttpAnswer}
  | {kind: 'unsent'; code: string}
  | {kind: 'broken'; code: string}
  | {kind: 'aborted'; written: boolean};

/** A request in progress. */
export interface HttpCall {
  readonly result: Promise<HttpResult>;
  /** True once a connection was open and the request was written to it. */
  isWritten(): boolean;
  /** Ends the call and closes its connection. */
  abort(): void;
}

/** Settings of a client. */
export interface HttpClientOptions {
  /** Maximum connections to one origin. */
  readonly connections: number;
  readonly connectTimeoutMs: number;
  /** Idle time after which a connection is closed, ms. */
  readonly keepAliveMs: number;
  /** Memory for answers; by default that of one answer of the largest size. */
  readonly budget?: AnswerBudget;
}

/** Client with connection pools; it sends each request at most once. */
export interface HttpClient {
  /** Never throws: a request that cannot be made ends as `unsent`. */
  send(origin: string, request: HttpRequest, now: number): HttpCall;
  close(): Promise<void>;
}

/** Creates a client without connections. */
export function createHttpClient(options: HttpClientOptions): HttpClient {
  const reset: ResetState = {handling: false};
  const budget = options.budget ?? createAnswerBudget(MAX_ANSWER_BYTES);
  const connect = createConnector(options.connectTimeoutMs, reset);
  const pools = new Map<string, {pool: Pool; usedAt: number}>();
  const closeIdlePools = (now: number) => {
    for (const [origin, {pool, usedAt}] of pools) {
      if (now - usedAt <= POOL_IDLE_MS) continue;
      pools.delete(origin);
      void pool.close();
    }
  };
  const getOrCreatePool = (origin: string, now: number): Pool => {
    const found = pools.get(origin);
    if (found) {
      found.usedAt = now;
      return found.pool;
    }
    closeIdlePools(now);
    const pool = new Pool(origin, {
      connections: options.connections,
      pipelining: 1,
      keepAliveTimeout: options.keepAliveMs,
      keepAliveMaxTimeout: options.keepAliveMs,
      connect,
      // The deadline of each request applies instead.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    pools.set(origin, {pool, usedAt: now});
    return pool;
  };
  return {
    send(origin, request, now) {
      const {method, path, headers, body, closes} = request;
      const call = new Call(reset, budget, request);
      const options = {
        method: method as Dispatcher.HttpMethod,
        path,
        headers,
        body,
        idempotent: false,
        reset: closes,
      };
      try {
        getOrCreatePool(origin, now).dispatch(options, call);
      } catch (err) {
        call.onResponseError(undefined, err as NodeJS.ErrnoException);
      }
      return call;
    },
    async close() {
      const all = [...pools.values()];
      pools.clear();
      await Promise.all(all.map(({pool}) => pool.destroy()));
    },
  };
}

/** Whether the reset of a connection is being handled right now. */
interface ResetState {
  handling: boolean;
}

/**
 * undici treats a reset as the end of an answer without a length. The listeners
 * run before undici's own, so that the call can tell a reset from an orderly
 * end. When the reset has arrived by the time the last bytes are read, Node
 * reports an end and no error; the connection then has no peer any more, while
 * after an orderly end it still has.
 */
function createConnector(
  timeout: number,
  reset: ResetState,
): buildConnector.connector {
  const connect = buildConnector({timeout});
  const markReset = (): void => {
    reset.handling = true;
    queueMicrotask(() => (reset.handling = false));
  };
  return (options, callback) =>
    connect(options, (...args) => {
      const [, socket] = args;
      socket?.on('error', markReset);
      socket?.on('end', () => {
        if (socket.remoteAddress === undefined) markReset();
      });
      callback(...args);
    });
}

const CANCELLED = new Error('request was cancelled');

/** Raised when a request would be written to a second connection. */
const ALREADY_WRITTEN = new Error('request was already written once');

class Call implements HttpCall, PendingAnswer, Dispatcher.DispatchHandler {
  readonly result: Promise<HttpResult>;
  #settle!: (result: HttpResult) => void;
  #written = false;
  #done = false;
  #controller?: Dispatcher.DispatchController;
  #status = 0;
  #headers: IncomingHttpHeaders = {};
  readonly #chunks = new ChunkList();
  /** Bytes that are set aside for the rest of the answer. */
  #expectedBytes = 0;
  /** Bytes received so far. */
  size = 0;

  constructor(
    private readonly reset: ResetState,
    private readonly budget: AnswerBudget,
    private readonly request: HttpRequest,
  ) {
    this.result = new Promise(resolve => (this.#settle = resolve));
    const {route} = request;
    if (route !== undefined) this.#expect(predictAnswerBytes(budget, route));
  }

  /** Sets the bytes that are set aside for the rest of the answer. */
  #expect(bytes: number): void {
    this.budget.expectedBytes += bytes - this.#expectedBytes;
    this.#expectedBytes = bytes;
  }

  #end(result: HttpResult): void {
    if (this.#done) return;
    this.#done = true;
    this.#expect(0);
    releaseAnswer(this.budget, this);
    this.#chunks.clear();
    this.#settle(result);
  }

  /** Ends the call because its answer takes too much memory. */
  drop(): void {
    this.#end({kind: 'broken', code: 'ANSWER_TOO_LARGE'});
    this.#controller?.abort(CANCELLED);
  }

  isWritten(): boolean {
    return this.#written;
  }

  abort(): void {
    this.#end({kind: 'aborted', written: this.#written});
    this.#controller?.abort(CANCELLED);
  }

  /** Called just before the first byte is written. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#done) return controller.abort(CANCELLED);
    if (this.#written) return controller.abort(ALREADY_WRITTEN);
    if (this.request.beforeWrite?.() === false) {
      this.#end({kind: 'unsent', code: WITHDRAWN});
      return controller.abort(CANCELLED);
    }
    this.#written = true;
    this.#controller = controller;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < MIN_STATUS) {
      this.#end({kind: 'broken', code: INVALID_STATUS});
      controller.abort(CANCELLED);
      return;
    }
    if (status < 200) return;
    const {isOwnAnswer} = this.request;
    if (isOwnAnswer && !isOwnAnswer({status, headers})) {
      this.#end({kind: 'broken', code: CROSSED_ANSWER});
      controller.abort(CANCELLED);
      return;
    }
    this.#status = status;
    this.#headers = headers;
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#done) return;
    this.size += chunk.length;
    this.#chunks.push(chunk);
    this.#expect(Math.max(0, this.#expectedBytes - chunk.length));
    chargeAnswer(this.budget, this, chunk.length);
    if (this.size > MAX_ANSWER_BYTES) this.drop();
  }

  onResponseEnd(): void {
    if (this.#done) return;
    if (this.reset.handling) {
      this.#end({kind: 'broken', code: 'RESET_WITHIN_ANSWER'});
      return;
    }
    const body = this.#chunks.take();
    const status = this.#status;
    const headers = this.#headers;
    const release = this.#keep();
    const answer = {status, headers, body, release};
    this.#end({kind: 'answer', answer});
  }

  /** Keeps the answer to a customer's request in the budget. */
  #keep(): () => void {
    const {budget, request} = this;
    if (request.route === undefined) return () => {};
    return keepAnswer(budget, this);
  }

  onResponseError(_controller: unknown, err: NodeJS.ErrnoException): void {
    const code = err.code ?? err.name;
    this.#end({kind: this.#written ? 'broken' : 'unsent', code});
  }
}
