import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {FakeStore} from '../standins/kv_store.js';
import type {Checker} from './checker.js';
import {listen} from './proxy.js';

/** Time for which an upstream is cold after its start, ms. */
const COLD_MS = 2_000;

/** Requests per second that a cold upstream can handle. */
export const COLD_PER_S = 8;

/** Requests that an upstream runs concurrently, and that it queues. */
const SLOTS = 6;
const QUEUE_LIMIT = 4;

/** Service time of an upstream that states a limit, ms. */
const LIMITED_SERVICE_MS = 640;

/** Service times of requests, ms. */
const SERVICE_TIME_MS = {shortest: 5, spread: 60};

/** Share of the requests that last until about their deadline. */
const LONG_RUN_SHARE = 0.02;

/** Service time of those requests relative to their deadline, ms. */
const LONG_RUN_MS = {earliest: -50, spread: 70};

/** Share of the answers that are lost while `losesAnswers` is set. */
const ANSWER_LOSS_SHARE = 0.1;

/** Share of the answers that are spoiled while `spoils` is set. */
const SPOILED_SHARE = 0.2;

/** Query parameter with the size that the answer to a request shall have, bytes. */
export const SIZE_PARAMETER = 'bytes';

/** Ways in which an upstream spoils answers: half of one without a length, ended
 * by a reset; a refusal without an id ahead of one. */
export type Spoiling = 'reset' | 'stray';

/** An upstream beside one daemon that can drain, crash and spoil answers. */
export class Upstream {
  losesAnswers = false;
  spoils?: Spoiling;
  /** Answers a request in its place, or never; false leaves the request to it. */
  respond?: (id: string, res: ServerResponse) => boolean;
  /** False while the end of the connection ends each answer. */
  statesLength = true;
  /** Called when a request begins to run; it gets no answer if it returns true. */
  onRun?: (id: string, url: string) => boolean;
  #slots = SLOTS;
  /** Limit that its answers state, requests per second. */
  #limit?: number;
  #namesLimitInHealth = false;
  id = '';
  /** Requests that it works on, also once nobody waits for the answer. */
  readonly atWork = new Set<string>();
  #incarnation = 0;
  #server?: Server;
  #running = 0;
  #coldUntil = 0;
  #recentArrivals: number[] = [];
  /** Monotonic time at which the draining state was stored, ms. */
  #drainingSince?: number;
  /** State in its record; undefined without one. */
  #listedState?: 'ready' | 'draining';
  /** Monotonic time at which its zone was evacuated, ms. */
  evacuatedAt?: number;

  constructor(
    readonly name: string,
    readonly service: string,
    readonly zone: string,
    readonly host: string,
    readonly port: number,
    private readonly publishedPort: number,
    private readonly store: FakeStore,
    private readonly checker: Checker,
    private readonly random: () => number,
    private readonly now: () => number,
  ) {}

  /** Starts a new incarnation, cold unless it is the first one. */
  async start(): Promise<void> {
    this.#incarnation++;
    this.id = `${this.name}-${this.#incarnation}`;
    this.#running = 0;
    this.atWork.clear();
    this.#recentArrivals = [];
    this.#drainingSince = undefined;
    const coldMs = this.#incarnation === 1 ? 0 : COLD_MS;
    this.#coldUntil = this.now() + coldMs;
    const server = createServer(
      (req, res) => void this.#handleRequest(req, res),
    );
    this.#server = server;
    await listen(server, this.host, this.port);
    this.#publishRecord('ready', coldMs);
  }

  /** Turns cold without an end and without a record of it; returns for how long,
   * ms. */
  turnCold(): number {
    this.#coldUntil = this.now() + COLD_MS;
    // The bound holds for a second in which it is cold.
    this.#recentArrivals = [];
    return COLD_MS;
  }

  /** Publishes its record once more, unless it has ended or left. */
  republish(): void {
    const coldMs = Math.max(0, Math.round(this.#coldUntil - this.now()));
    if (this.#listedState) this.#publishRecord(this.#listedState, coldMs);
  }

  #publishRecord(state: 'ready' | 'draining', coldMs: number): void {
    this.#listedState = state;
    this.store.put(`servers/${this.id}`, {
      addr: `${this.host}:${this.publishedPort}`,
      born: 1_000 * this.#incarnation,
      info: {
        service: this.service,
        version: 'v1',
        zone: this.zone,
        slots: this.#slots,
      },
      status: {state, sequence: 1, cold_left: `${coldMs}ms`},
    });
  }

  /** Publishes that it is draining; it still serves requests. */
  drain(): void {
    this.#publishRecord('draining', 0);
    this.#drainingSince = this.now();
  }

  /** States a limit in its answers, requests per second, and perhaps in those to
   * health checks; it has this number of slots meanwhile. */
  stateLimit(limit: number, slots: number, inHealth: boolean): void {
    this.#limit = limit;
    this.#slots = slots;
    this.#namesLimitInHealth = inHealth;
    this.#publishSlots();
  }

  /** States no limit any more. */
  endLimit(): void {
    this.#limit = undefined;
    this.#slots = SLOTS;
    this.onRun = undefined;
    this.#publishSlots();
  }

  /** Publishes its slots in the record that it has: one that drains must not be
   * listed as ready again, nor one that has left. */
  #publishSlots(): void {
    if (this.#listedState) this.#publishRecord(this.#listedState, 0);
  }

  /** Leaves without an announcement; it still serves requests. */
  leave(): void {
    this.removeRecord();
    this.#drainingSince = this.now();
  }

  /** Stops at once, as in a crash; its record stays in the store. */
  async crash(): Promise<void> {
    this.#listedState = undefined;
    this.atWork.clear();
    this.#server?.closeAllConnections();
    await new Promise(resolve => this.#server?.close(resolve));
  }

  /** Removes the record of the stopped incarnation from the store. */
  removeRecord(): void {
    this.#listedState = undefined;
    this.store.remove(`servers/${this.id}`);
  }

  async #handleRequest(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    if (req.url === '/healthz') {
      const coldMs = Math.max(0, Math.round(this.#coldUntil - this.now()));
      res.setHeader('x-instance-id', this.id);
      res.setHeader('x-cold-ms', String(coldMs));
      if (this.#namesLimitInHealth) this.#setLimit(res);
      return void res.writeHead(200).end();
    }
    let body = '';
    for await (const chunk of req) body += String(chunk);
    const id = String(req.headers['x-request-id']);
    res.setHeader('x-request-id', id);
    if (req.headers['x-expect-instance'] !== this.id) {
      return void res.writeHead(421, {'x-not-run': '1'}).end();
    }
    this.#setLimit(res);
    if (this.#running >= this.#slots + QUEUE_LIMIT) {
      return void res.writeHead(503, {'x-not-run': '1'}).end();
    }
    this.#checkArrival(id, req, body);
    if (this.respond?.(id, res)) return;
    this.#running++;
    this.atWork.add(id);
    if (this.onRun?.(id, req.url ?? '')) return;
    const spoiling = this.random() < SPOILED_SHARE ? this.spoils : undefined;
    if (spoiling === 'stray') {
      this.atWork.delete(id);
      req.socket.write('HTTP/1.1 503 Failing\r\ncontent-length: 0\r\n\r\n');
    }
    const deadlineMs = Number(req.headers['x-deadline-ms'] ?? Infinity);
    const ms = this.#selectServiceTime(deadlineMs);
    const isLate = ms > deadlineMs;
    const minMs = this.#limit === undefined ? 0 : LIMITED_SERVICE_MS;
    const workMs = Math.min(Math.max(ms, minMs), deadlineMs);
    const incarnation = this.#incarnation;
    await new Promise(resolve => setTimeout(resolve, workMs));
    if (incarnation !== this.#incarnation) return;
    this.#running--;
    this.atWork.delete(id);
    if (res.destroyed) return;
    if (this.losesAnswers && this.random() < ANSWER_LOSS_SHARE) {
      return void req.socket.resetAndDestroy();
    }
    const text = `body of ${id}`.padEnd(readSize(req.url ?? ''), '.');
    res.setHeader('x-server-stamp', `signed ${id}`);
    if (isLate) return void res.writeHead(504).end();
    if (spoiling === 'reset') {
      res.useChunkedEncodingByDefault = false;
      res.writeHead(200, {connection: 'close'}).write(text.slice(0, 4));
      res.socket?.uncork();
      return void req.socket.resetAndDestroy();
    }
    if (this.statesLength) res.setHeader('content-length', text.length);
    else {
      res.useChunkedEncodingByDefault = false;
      res.setHeader('connection', 'close');
    }
    res.writeHead(200).end(text);
  }

  #setLimit(res: ServerResponse): void {
    if (this.#limit === undefined) return;
    res.setHeader('server-limit', String(this.#limit));
  }

  #selectServiceTime(deadlineMs: number): number {
    const isLong = this.random() < LONG_RUN_SHARE && deadlineMs < Infinity;
    const {shortest, spread} = SERVICE_TIME_MS;
    return isLong
      ? deadlineMs + LONG_RUN_MS.earliest + LONG_RUN_MS.spread * this.random()
      : shortest + spread * this.random();
  }

  #checkArrival(id: string, req: IncomingMessage, body: string): void {
    const caller = String(req.headers['x-caller']);
    this.checker.recordArrival(this.id, {
      id,
      path: req.url ?? '',
      body,
      caller,
    });
    const now = this.now();
    if (this.#drainingSince !== undefined) {
      this.checker.checkLateArrival(
        'DRAIN',
        this.id,
        now - this.#drainingSince,
      );
    }
    if (this.evacuatedAt !== undefined) {
      this.checker.checkLateArrival('EVAC', this.id, now - this.evacuatedAt);
    }
    this.#recentArrivals = this.#recentArrivals.filter(at => at > now - 1_000);
    this.#recentArrivals.push(now);
    if (now < this.#coldUntil) {
      this.checker.checkColdRate(
        this.id,
        this.#recentArrivals.length,
        COLD_PER_S,
      );
    }
  }
}

function readSize(url: string): number {
  const {searchParams} = new URL(url, 'http://upstream');
  return Number(searchParams.get(SIZE_PARAMETER) ?? 0);
}
