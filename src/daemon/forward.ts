import type {IncomingHttpHeaders} from 'node:http';
import {Pool, type Dispatcher} from 'undici';

/** Connections that one entry opens to one owner; further requests queue. */
export const CONNECTIONS_PER_OWNER = 64;

/** Connect timeout, ms; in a network partition no refusal arrives. */
export const CONNECT_TIMEOUT_MS = 500;

/**
 * Idle time after which a connection is closed, ms, unless the owner announces
 * a shorter one. It is below the 5 s of Node's HTTP server, because a request
 * written while the other side closes counts as one that may have run.
 */
const KEEP_ALIVE_MS = 4_000;

/** Idle time after which a pool is closed, ms. */
const POOL_IDLE_MS = 60_000;

/** Address of an owner. */
export interface OwnerAddress {
  readonly host: string;
  readonly peerPort: number;
}

/** Request to forward. */
export interface ForwardRequest {
  readonly method: string;
  /** Path and query at the owner. */
  readonly path: string;
  /** Alternating header names and values. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
}

/** Callbacks of a request; exactly one of `end` and `fail` is called. */
export interface ForwardEvents {
  /** Response status and headers. Returning false aborts without callbacks. */
  head(status: number, headers: IncomingHttpHeaders): boolean;
  /** Chunk of the body. Returning false pauses until `resume` is called. */
  data(chunk: Buffer): boolean;
  end(): void;
  /** `written` is false only when no byte of the request was written. */
  fail(err: Error, written: boolean): void;
}

/** A forwarded request in progress. */
export interface ForwardCall {
  /** True once a byte of the request may have been written. */
  readonly written: boolean;
  /** Closes the connection; no callback follows. */
  abort(): void;
  resume(): void;
}

/** HTTP/1.1 client to owners. */
export interface Forwarder {
  send(
    to: OwnerAddress,
    request: ForwardRequest,
    events: ForwardEvents,
    now: number,
  ): ForwardCall;
  /** Closes all connections. */
  close(): Promise<void>;
}

/** Creates a client that keeps one pool of connections per owner address. */
export function createForwarder(
  connections: number = CONNECTIONS_PER_OWNER,
): Forwarder {
  const pools = new Map<string, {pool: Pool; usedAt: number}>();
  let sweptAt = 0;

  function getPool(to: OwnerAddress, now: number): Pool {
    if (now - sweptAt > POOL_IDLE_MS) {
      sweptAt = now;
      closeIdlePools(pools, now);
    }
    const host = to.host.includes(':') ? `[${to.host}]` : to.host;
    const origin = `http://${host}:${to.peerPort}`;
    let entry = pools.get(origin);
    if (!entry) {
      const pool = new Pool(origin, {
        connections,
        pipelining: 1,
        keepAliveTimeout: KEEP_ALIVE_MS,
        keepAliveMaxTimeout: KEEP_ALIVE_MS,
        connect: {timeout: CONNECT_TIMEOUT_MS},
        // The deadline of each request applies instead.
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      entry = {pool, usedAt: now};
      pools.set(origin, entry);
    }
    entry.usedAt = now;
    return entry.pool;
  }

  return {
    send(to, request, events, now) {
      const call = new Call(events);
      const {method, path, headers, body} = request;
      // `idempotent: false` also prevents undici from resending a request.
      const options = {method, path, headers, body, idempotent: false};
      getPool(to, now).dispatch(options as Dispatcher.DispatchOptions, call);
      return call;
    },
    async close() {
      const all = [...pools.values()];
      pools.clear();
      await Promise.all(all.map(({pool}) => pool.destroy()));
    },
  };
}

function closeIdlePools(
  pools: Map<string, {pool: Pool; usedAt: number}>,
  now: number,
): void {
  for (const [origin, {pool, usedAt}] of pools) {
    if (now - usedAt <= POOL_IDLE_MS) continue;
    pools.delete(origin);
    // Lets requests in progress end first.
    void pool.close();
  }
}

/** Raised when a request would be written to a second connection. */
const WRITTEN_TWICE = new Error('request was already written once');

const CANCELLED = new Error('request was cancelled');

class Call implements ForwardCall, Dispatcher.DispatchHandler {
  written = false;
  #done = false;
  #controller?: Dispatcher.DispatchController;

  constructor(private readonly events: ForwardEvents) {}

  abort(): void {
    this.#done = true;
    this.#controller?.abort(CANCELLED);
  }

  resume(): void {
    if (!this.#done) this.#controller?.resume();
  }

  /** Called just before the first byte is written. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#done) {
      controller.abort(CANCELLED);
      return;
    }
    if (this.written) {
      controller.abort(WRITTEN_TWICE);
      return;
    }
    this.written = true;
    this.#controller = controller;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (this.#done || status < 200) return;
    if (this.events.head(status, headers)) return;
    this.#done = true;
    controller.abort(CANCELLED);
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (!this.#done && !this.events.data(chunk)) controller.pause();
  }

  onResponseEnd(): void {
    if (this.#done) return;
    this.#done = true;
    this.events.end();
  }

  onResponseError(_controller: unknown, err: Error): void {
    if (this.#done) return;
    this.#done = true;
    this.events.fail(err, this.written);
  }
}
