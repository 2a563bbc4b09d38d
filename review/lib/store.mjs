// Stand-in for the platform's store: kv-range, kv-watch and kv-key, with one
// revision counter. It is always sound.
import {createServer} from 'node:http';

/** Starts a store at the address. */
export async function startStore(host, port) {
  const items = new Map();
  const events = [];
  const waiters = new Set();
  const waiting = new Set();
  let revision = 1;
  const changed = event => {
    events.push(event);
    for (const wake of [...waiters]) wake();
  };
  const put = (key, value) => {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    revision++;
    const created = items.get(key)?.created ?? revision;
    const encoded = Buffer.from(text).toString('base64');
    const item = {key, value: encoded, revision, created, lease: 0};
    items.set(key, item);
    changed(item);
  };
  const remove = key => {
    if (!items.delete(key)) return;
    changed({key, revision: ++revision, deleted: true});
  };
  const send = (res, body, status = 200) => {
    res.writeHead(status, {'content-type': 'application/json'});
    res.end(JSON.stringify(body));
  };
  const watch = (query, res) => {
    const prefix = query.get('path_prefix') ?? '';
    const after = Number(query.get('after'));
    const find = () =>
      events.filter(e => e.revision > after && e.key.startsWith(prefix));
    const finish = () => {
      clearTimeout(timer);
      waiters.delete(wake);
      send(res, {events: find(), store_revision: revision});
    };
    const wake = () => find().length > 0 && finish();
    const timer = setTimeout(finish, Number(query.get('wait_ms')));
    waiters.add(wake);
    const {socket} = res;
    waiting.add(socket);
    res.on('close', () => {
      clearTimeout(timer);
      waiters.delete(wake);
      waiting.delete(socket);
    });
    wake();
  };
  const server = createServer((req, res) => {
    const {pathname, searchParams} = new URL(req.url, 'http://store');
    if (pathname === '/api/kv-watch') return watch(searchParams, res);
    if (pathname === '/api/kv-key') {
      const item = items.get(searchParams.get('key'));
      return item
        ? send(res, {...item, store_revision: revision})
        : send(res, {store_revision: revision}, 404);
    }
    if (pathname !== '/api/kv-range') return send(res, {}, 404);
    const prefix = searchParams.get('path_prefix') ?? '';
    const after = searchParams.get('after') ?? '';
    const found = [...items.values()]
      .filter(({key}) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = found.slice(0, 500);
    const hasMore = page.length < found.length;
    send(res, {items: page, has_more: hasMore, store_revision: revision});
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return {
    put,
    remove,
    /** Closes the connections of the watches that wait; returns their number. */
    cutWatches() {
      const sockets = [...waiting];
      for (const socket of sockets) socket.end();
      return sockets.length;
    },
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}
