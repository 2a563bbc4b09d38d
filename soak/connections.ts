import {connect, type Socket} from 'node:net';
import type {Checker, ReceivedAnswer, SentRequest} from './checker.js';
import {createRequest, ROUTE_TIMEOUT_MS} from './customers.js';
import {type Daemon, PORTS} from './daemons.js';

/** Deadline of each request, ms; ends before the timeout of its route. */
const DEADLINE_MS = 800;

/** Time without bytes after which a customer closes its connection, ms. */
const SILENCE_MS = 2_000;

/** Interval at which a connection is filled or opened again, ms. */
const FILL_INTERVAL_MS = 200;

/** Requests that are in flight on a connection after it was filled. */
const IN_FLIGHT = {fewest: 2, spread: 3};

/** The first answer of a connection and the bytes behind it. */
export interface TakenAnswer {
  /** `status` is NaN when the bytes are no answer. */
  readonly answer: ReceivedAnswer;
  readonly rest: string;
}

/** Decodes a chunked body; `end` is NaN while it is not complete. */
function readChunks(text: string): {body: string; end: number} {
  let body = '';
  for (let at = 0; ;) {
    const sizeEnd = text.indexOf('\r\n', at);
    const size = parseInt(text.slice(at, sizeEnd), 16);
    const dataEnd = sizeEnd + 2 + size;
    if (sizeEnd < 0 || !(dataEnd + 2 <= text.length)) return {body, end: NaN};
    body += text.slice(sizeEnd + 2, dataEnd);
    at = dataEnd + 2;
    if (size === 0) return {body, end: at};
  }
}

/** Takes the first answer off the bytes of a connection; returns undefined while
 * it is not complete and the connection is open. An answer that ended early is
 * marked as cut; one that ended before its announced length has status 0. */
export function takeAnswer(
  input: string,
  hasEnded: boolean,
): TakenAnswer | undefined {
  const headEnd = input.indexOf('\r\n\r\n');
  if (headEnd < 0) return undefined;
  const [statusLine, ...lines] = input.slice(0, headEnd).split('\r\n');
  const headers = new Map(
    lines.map(line => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const payload = input.slice(headEnd + 4);
  const length = headers.get('content-length');
  const isChunked = headers.get('transfer-encoding') === 'chunked';
  const chunks = isChunked ? readChunks(payload) : undefined;
  const end = chunks?.end ?? Number(length ?? NaN);
  const isComplete = end <= payload.length;
  if (!isComplete && !hasEnded) return undefined;
  const status = Number(/^HTTP\/1\.1 (\d{3})\b/.exec(statusLine)?.[1]);
  const answer = {
    status: !isComplete && length !== undefined ? 0 : status,
    stamp: headers.get('x-server-stamp'),
    requestId: headers.get('x-request-id'),
    body: chunks?.body ?? payload.slice(0, isComplete ? end : undefined),
    cut: !isComplete && (isChunked || length !== undefined),
  };
  return {answer, rest: isComplete ? payload.slice(end) : ''};
}

/** A customer's connection that several requests use at the same time. */
class Connection {
  readonly #socket: Socket;
  readonly #pending: SentRequest[] = [];
  readonly closed: Promise<void>;
  #input = '';
  #isFinishing = false;

  constructor(
    private readonly daemon: Daemon,
    private readonly checker: Checker,
    private readonly now: () => number,
  ) {
    this.#socket = connect(PORTS.customer, daemon.host);
    this.#socket.setEncoding('latin1');
    this.#socket.setTimeout(SILENCE_MS, () => this.#socket.destroy());
    this.#socket.on('data', text => {
      this.#input += String(text);
      this.#readAnswers(false);
    });
    // The close that follows ends the requests.
    this.#socket.on('error', () => {});
    this.closed = new Promise(resolve => {
      this.#socket.once('close', () => {
        this.#readAnswers(true);
        const lost = {status: 0, body: '', cut: true};
        for (const {id} of this.#pending.splice(0)) this.#record(id, lost);
        resolve();
      });
    });
  }

  get isClosed(): boolean {
    return this.#socket.destroyed;
  }

  /** Sends requests until `count` are in flight, whatever answers announced. */
  fill(count: number, create: () => SentRequest): void {
    while (this.#socket.readyState === 'open' && this.#pending.length < count) {
      const sent = create();
      this.#pending.push(sent);
      this.checker.recordSent(sent, Math.min(DEADLINE_MS, ROUTE_TIMEOUT_MS));
      const lines = [
        `${sent.body === '' ? 'GET' : 'POST'} ${sent.path} HTTP/1.1`,
        'host: shop.example',
        `x-request-id: ${sent.id}`,
        `x-deadline-ms: ${DEADLINE_MS}`,
        ...(sent.body ? [`content-length: ${sent.body.length}`] : []),
      ];
      this.#socket.write(`${lines.join('\r\n')}\r\n\r\n${sent.body}`);
    }
  }

  /** Closes the connection once no request is in flight. */
  async finish(): Promise<void> {
    this.#isFinishing = true;
    if (this.#pending.length === 0) this.#socket.destroy();
    await this.closed;
  }

  #record(id: string, answer: ReceivedAnswer): void {
    const mayLose = this.daemon.isDisrupted(this.now());
    this.checker.recordAnswer(id, answer, mayLose);
  }

  #readAnswers(hasEnded: boolean): void {
    for (;;) {
      const taken = takeAnswer(this.#input, hasEnded);
      if (!taken) break;
      this.#input = taken.rest;
      const {answer} = taken;
      const request = this.#pending.shift();
      if (request && !Number.isNaN(answer.status)) {
        this.#record(request.id, answer);
      } else this.checker.reportStray(this.daemon.name, answer.status);
    }
    if (this.#isFinishing && this.#pending.length === 0) this.#socket.destroy();
  }
}

/** Keeps a connection with several requests in flight to each listed daemon, and
 * opens another once it has ended; returns a stop function. */
export function startConnections(
  daemons: readonly Daemon[],
  services: ReadonlyMap<string, string>,
  checker: Checker,
  random: () => number,
  now: () => number,
): () => Promise<unknown> {
  const connections: Connection[] = [];
  let count = 0;
  const fillAll = (): void => {
    for (const [i, daemon] of daemons.entries()) {
      if (daemon.running && (connections[i]?.isClosed ?? true)) {
        connections[i] = new Connection(daemon, checker, now);
      }
      const inFlight =
        IN_FLIGHT.fewest + Math.floor(IN_FLIGHT.spread * random());
      const caller = services.get(daemon.name) ?? '';
      connections[i]?.fill(inFlight, () =>
        createRequest('k', ++count, caller, random),
      );
    }
  };
  const timer = setInterval(fillAll, FILL_INTERVAL_MS);
  return () => {
    clearInterval(timer);
    return Promise.all(connections.map(connection => connection.finish()));
  };
}
