// Stand-in for the platform's store: a linearizable store with one revision
// counter, range reads and watches, as PROTOCOL.md describes it.
import {createServer} from 'node:http';

const HISTORY_MS = 20_000;
const PAGE_ITEMS = 500;

export class Store {
  #items = new Map();
  #history = [];
  #revision = 1;
  #dropped = 0;
  #waiters = new Set();
  #server;

  put(key, value) {
    const revision = ++this.#revision;
    const created = this.#items.get(key)?.created ?? revision;
    const bytes = Buffer.from(JSON.stringify(value)).toString('base64');
    const item = {key, value: bytes, revision, created, lease: 0};
    this.#items.set(key, item);
    this.#add(item);
  }

  remove(key) {
    if (!this.#items.delete(key)) return;
    this.#add({key, revision: ++this.#revision, deleted: true});
  }

  #add(event) {
    const now = performance.now();
    this.#history.push({at: now, event});
    while (this.#history[0].at < now - HISTORY_MS) {
      this.#dropped = this.#history.shift().event.revision;
    }
    for (const wake of [...this.#waiters]) wake();
  }

  #readEvents(prefix, after) {
    return this.#history
      .map(({event}) => event)
      .filter(({key, revision}) => revision > after && key.startsWith(prefix));
  }

  async #serve(req, res) {
    const url = new URL(req.url, 'http://store');
    const query = url.searchParams;
    const prefix = query.get('path_prefix') ?? '';
    const send = (status, body) => {
      res.writeHead(status, {'content-type': 'application/json'});
      res.end(JSON.stringify(body));
    };
    if (url.pathname === '/api/kv-range') {
      const after = query.get('after') ?? '';
      const keys = [...this.#items.keys()]
        .filter(key => key.startsWith(prefix) && key > after)
        .sort();
      const items = keys.slice(0, PAGE_ITEMS).map(key => this.#items.get(key));
      const has_more = keys.length > items.length;
      return send(200, {items, has_more, store_revision: this.#revision});
    }
    if (url.pathname === '/api/kv-key') {
      const item = this.#items.get(query.get('key'));
      if (!item) return send(404, {store_revision: this.#revision});
      return send(200, {...item, store_revision: this.#revision});
    }
    if (url.pathname !== '/api/kv-watch') return send(404, {});
    const after = Number(query.get('after'));
    if (after < this.#dropped) return send(410, {});
    if (this.#readEvents(prefix, after).length === 0) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Number(query.get('wait_ms')));
        this.#waiters.add(wake);
        res.once('close', wake);
      });
    }
    const events = this.#readEvents(prefix, after);
    send(200, {events, store_revision: this.#revision});
  }

  listen(host, port) {
    this.#server = createServer((req, res) => void this.#serve(req, res));
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }
}

/** Writes a configuration as the operator does. */
export function putConfig(store, version, routes, services) {
  store.put('op/config', {
    version: version.toString(16).padStart(8, '0'),
    routes,
    services,
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_000_000,
      header_timeout: '3s',
      idle_timeout: '15s',
    },
  });
}
