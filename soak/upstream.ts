import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {FakeStore} from '../standins/kv_store.js';
import type {Judge} from './judge.js';
import {listen} from './proxy.js';

/** Time for which an upstream is cold after its start, ms. */
const COLD_MS = 2_000;

/** Requests per second that a cold upstream bears. */
export const COLD_PER_S = 8;

/** Requests that an upstream runs at once, and that it lets wait beside. */
const SLOTS = 6;
const QUEUE = 4;

/** Running times of requests, ms. */
const WORK_MS = {shortest: 5, spread: 60};

/** Share of the answers that are lost while `losing` is set. */
const LOSS_SHARE = 0.1;

/** An upstream beside one daemon; it can end, return and lose answers. */
export class Upstream {
  losing = false;
  id = '';
  #boot = 0;
  #server?: Server;
  #running = 0;
  #coldUntil = 0;
  #arrivals: number[] = [];
  /** Monotonic time at which the store took the news of its leaving, ms. */
  #leavingAt?: number;
  evacuatedAt?: number;

  constructor(
    readonly name: string,
    readonly service: string,
    readonly zone: string,
    readonly host: string,
    readonly port: number,
    private readonly listedPort: number,
    private readonly store: FakeStore,
    private readonly judge: Judge,
    private readonly random: () => number,
    private readonly now: () => number,
  ) {}

  /** Starts a new incarnation, cold unless it is the first one. */
  async start(): Promise<void> {
    this.#boot++;
    this.id = `${this.name}-${this.#boot}`;
    this.#running = 0;
    this.#arrivals = [];
    this.#leavingAt = undefined;
    const coldMs = this.#boot === 1 ? 0 : COLD_MS;
    this.#coldUntil = this.now() + coldMs;
    const server = createServer((req, res) => void this.#serve(req, res));
    this.#server = server;
    await listen(server, this.host, this.port);
    this.#report('ready', coldMs);
  }

  #report(state: 'ready' | 'draining', coldMs: number): void {
    this.store.put(`servers/${this.id}`, {
      addr: `${this.host}:${this.listedPort}`,
      born: 1_000 * this.#boot,
      info: {
        service: this.service,
        version: 'v1',
        zone: this.zone,
        slots: SLOTS,
      },
      status: {state, sequence: 1, cold_left: `${coldMs}ms`},
    });
  }

  /** Says that it is leaving; it goes on serving. */
  drain(): void {
    this.#report('draining', 0);
    this.#leavingAt = this.now();
  }

  /** Ends at once, as by a crash; its entry lapses later. */
  async crash(): Promise<void> {
    this.#server?.closeAllConnections();
    await new Promise(resolve => this.#server?.close(resolve));
  }

  /** Removes the entry of the incarnation that has ended. */
  lapse(): void {
    this.store.remove(`servers/${this.id}`);
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (req.url === '/healthz') {
      const coldMs = Math.max(0, Math.round(this.#coldUntil - this.now()));
      res.setHeader('x-instance-id', this.id);
      res.setHeader('x-cold-ms', String(coldMs));
      return void res.writeHead(200).end();
    }
    let body = '';
    for await (const chunk of req) body += String(chunk);
    const id = String(req.headers['x-request-id']);
    res.setHeader('x-request-id', id);
    if (req.headers['x-expect-instance'] !== this.id) {
      return void res.writeHead(421, {'x-not-run': '1'}).end();
    }
    if (this.#running >= SLOTS + QUEUE) {
      return void res.writeHead(503, {'x-not-run': '1'}).end();
    }
    this.#note(id, req, body);
    this.#running++;
    const {shortest, spread} = WORK_MS;
    const ms = shortest + spread * this.random();
    await new Promise(resolve => setTimeout(resolve, ms));
    this.#running--;
    if (res.destroyed) return;
    if (this.losing && this.random() < LOSS_SHARE) {
      return void req.socket.resetAndDestroy();
    }
    const text = `body of ${id}`;
    res.setHeader('x-server-stamp', `signed ${id}`);
    res.setHeader('content-length', text.length);
    res.writeHead(200).end(text);
  }

  #note(id: string, req: IncomingMessage, body: string): void {
    const caller = String(req.headers['x-caller']);
    this.judge.noteArrival(this.id, {id, path: req.url ?? '', body, caller});
    const now = this.now();
    if (this.#leavingAt !== undefined) {
      this.judge.noteLate('DRAIN', this.id, now - this.#leavingAt);
    }
    if (this.evacuatedAt !== undefined) {
      this.judge.noteLate('EVAC', this.id, now - this.evacuatedAt);
    }
    this.#arrivals = this.#arrivals.filter(at => at > now - 1_000);
    this.#arrivals.push(now);
    if (now < this.#coldUntil) {
      this.judge.noteCold(this.id, this.#arrivals.length, COLD_PER_S);
    }
  }
}
