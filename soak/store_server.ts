import {createServer, type ServerResponse} from 'node:http';
import type {FakeStore} from '../standins/kv_store.js';
import {listen} from './proxy.js';

/** Faults of the store that all daemons see. */
export type StoreMode = 'sound' | 'down' | 'slow' | 'lossy';

/** Delay of each answer in mode `slow`, ms. */
const SLOW_MS = 300;

/** The platform's store over HTTP. */
export interface StoreServer {
  mode: StoreMode;
  close(): Promise<void>;
}

interface Item {
  readonly key: string;
  readonly value?: Buffer;
  readonly revision: number;
}

function encode({key, value, revision}: Item): object {
  if (value === undefined) return {key, revision, deleted: true};
  return {key, value: value.toString('base64'), revision};
}

/** Serves a store; `random` decides which answers are lost. */
export async function serveStore(
  store: FakeStore,
  host: string,
  port: number,
  random: () => number,
): Promise<StoreServer> {
  const reply = async (url: URL, res: ServerResponse): Promise<void> => {
    const query = url.searchParams;
    const prefix = query.get('path_prefix') ?? '';
    const isMode = (mode: StoreMode) => served.mode === mode;
    if (isMode('down')) return void res.writeHead(503).end();
    let body: object;
    if (url.pathname === '/api/kv-range') {
      const after = query.get('after') ?? undefined;
      const page = await store.readPage(prefix, after);
      const {items, more, revision} = page;
      body = {
        items: items.map(encode),
        has_more: more,
        store_revision: revision,
      };
    } else {
      const waitMs = Number(query.get('wait_ms'));
      const changes = await store.watch(
        prefix,
        Number(query.get('after')),
        waitMs,
      );
      if (changes === 'compacted') return void res.writeHead(410).end();
      const {events, revision} = changes;
      body = {events: events.map(encode), store_revision: revision};
    }
    if (isMode('slow')) {
      await new Promise(resolve => setTimeout(resolve, SLOW_MS));
    }
    if (isMode('down')) return void res.destroy();
    // A lost answer leaves its connection without another word.
    if (isMode('lossy') && random() < 0.5) return;
    res.end(JSON.stringify(body));
  };
  const server = createServer((req, res) => {
    reply(new URL(req.url ?? '/', 'http://store'), res).catch((err: Error) => {
      process.stderr.write(`store: ${err.message}\n`);
      res.destroy();
    });
  });
  await listen(server, host, port);
  const served: StoreServer = {
    mode: 'sound',
    close: () => {
      server.closeAllConnections();
      return new Promise(resolve => server.close(() => resolve()));
    },
  };
  return served;
}
