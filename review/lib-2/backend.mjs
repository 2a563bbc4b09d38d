// Stand-in for a backend: a sound one, as PROTOCOL.md describes it. Options let
// it name a limit, and a request crash it.
import {createServer} from 'node:http';
import {sleep} from './daemons.mjs';

const BEAT_MS = 1_500;

export class Backend {
  #server;
  #timer;
  #sockets = new Set();
  #sequence = 0;
  #boots = 0;
  #coldUntil = 0;
  #waiting = [];
  running = 0;
  /** Requests per second that it names in its answers; undefined for none. */
  limit;
  up = false;

  constructor(store, options) {
    Object.assign(this, {
      slots: 12,
      queue: 24,
      workMs: () => 100,
      coldMs: 3_000,
      onRun: () => {},
      isPoison: () => false,
      answer: (res, id) => res.writeHead(200).end(`bytes for ${id}`),
      ...options,
    });
    this.store = store;
  }

  async start() {
    this.#boots++;
    this.id = `i-${this.name}-${this.#boots}`;
    this.born = Date.now();
    this.running = 0;
    this.#waiting = [];
    // The backends of a new installation are warm; later starts are cold.
    const cold = this.#boots > 1 ? this.coldMs : 0;
    this.#coldUntil = performance.now() + cold;
    const server = createServer({keepAliveTimeout: 10_000}, (req, res) => {
      this.#serve(req, res).catch(() => res.destroy());
    });
    server.on('connection', socket => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    this.#server = server;
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.port, this.host, resolve);
    });
    this.up = true;
    this.#beat();
    this.#timer = setInterval(() => this.#beat(), BEAT_MS);
  }

  #coldLeft() {
    return Math.max(0, Math.round(this.#coldUntil - performance.now()));
  }

  #beat() {
    this.store.put(`servers/${this.id}`, {
      addr: `${this.host}:${this.port}`,
      born: this.born,
      info: {
        service: this.service,
        version: 'v1',
        zone: this.zone,
        slots: this.slots,
      },
      status: {
        state: 'ready',
        sequence: ++this.#sequence,
        cold_left: `${this.#coldLeft()}ms`,
      },
    });
  }

  /** Ends at once; its entry expires after three intervals of silence. */
  crash() {
    if (!this.up) return;
    this.up = false;
    clearInterval(this.#timer);
    const {id} = this;
    setTimeout(() => this.store.remove(`servers/${id}`), 3 * BEAT_MS);
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  async #serve(req, res) {
    const boot = this.#boots;
    if (this.limit !== undefined) {
      res.setHeader('server-limit', String(this.limit));
    }
    const isHealth = req.method === 'GET' && req.url === '/healthz';
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const id = req.headers['x-request-id'];
    if (isHealth) {
      res.setHeader('x-instance-id', this.id);
      res.setHeader('x-cold-ms', String(this.#coldLeft()));
    } else {
      if (id === undefined) {
        res.writeHead(400, {'x-not-run': '1'}).end();
        return;
      }
      res.setHeader('x-request-id', id);
    }
    const expected = req.headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, {'x-instance-id': this.id}).end();
      return;
    }
    if (!isHealth) this.onArrival?.(this, req);
    if (this.running >= this.slots) {
      if (this.#waiting.length >= this.queue) {
        res.writeHead(503, {'x-not-run': '1'}).end();
        return;
      }
      await new Promise(resolve => this.#waiting.push(resolve));
      if (boot !== this.#boots || res.destroyed) return this.#next();
    }
    this.running++;
    try {
      if (isHealth) {
        await sleep(6);
        if (!res.destroyed) res.writeHead(200).end();
        return;
      }
      this.onRun(this, req, Buffer.concat(chunks));
      if (this.isPoison(req)) {
        this.crash();
        return;
      }
      const budgetMs = Number(req.headers['x-deadline-ms'] ?? 60_000);
      const ms = this.workMs(req);
      await sleep(Math.min(ms, budgetMs));
      if (boot !== this.#boots || res.destroyed) return;
      res.setHeader('x-server-stamp', `stamp.${this.id}.${id}`);
      if (ms > budgetMs) res.writeHead(504).end();
      else this.answer(res, id);
    } finally {
      if (boot === this.#boots) {
        this.running--;
        this.#next();
      }
    }
  }

  #next() {
    this.#waiting.shift()?.();
  }
}
