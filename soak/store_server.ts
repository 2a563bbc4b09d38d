import {createServer, type ServerResponse} from 'node:http';
import type {FakeStore} from '../standins/kv_store.js';
import {listen} from './proxy.js';

/** Fault modes of the store, the same for all daemons. */
export type StoreMode = 'sound' | 'down' | 'slow' | 'lossy' | 'held' | 'hung';

/** Delay of each answer in mode `slow`, ms. */
const SLOW_ANSWER_DELAY_MS = 300;

/** Longest time for which an answer is held back in mode `held`, ms; calls that
 * are answered that late still succeed. */
const MAX_HOLD_MS = 450;

/** HTTP server of the platform's store. */
export interface StoreServer {
  mode: StoreMode;
  /** Time at which the latest fault of the store ends, ms; it replaces those
   * before. */
  modeEndsAt: number;
  /** Closes the connections of the watches that wait. */
  cutWatches(): void;
  close(): Promise<void>;
}

interface StoreItem {
  readonly key: string;
  readonly value?: Buffer;
  readonly revision: number;
  readonly created?: number;
}

function encodeItem({key, value, revision, created}: StoreItem): object {
  if (value === undefined) return {key, revision, deleted: true};
  return {key, value: value.toString('base64'), revision, created};
}

/** Serves a store over HTTP; `random` selects the answers to drop. */
export async function startStoreServer(
  store: FakeStore,
  host: string,
  port: number,
  random: () => number,
): Promise<StoreServer> {
  const watches = new Set<ServerResponse>();
  const handleRequest = async (
    url: URL,
    res: ServerResponse,
  ): Promise<void> => {
    const query = url.searchParams;
    const prefix = query.get('path_prefix') ?? '';
    const isMode = (mode: StoreMode) => storeServer.mode === mode;
    const stateEra = (): void => {
      if (store.era > 0) res.setHeader('store-era', store.era);
    };
    stateEra();
    if (isMode('down')) return void res.writeHead(503).end();
    // Such a call gets no answer later either.
    if (isMode('hung')) return;
    let body: object;
    if (url.pathname === '/api/kv-range') {
      const after = query.get('after') ?? undefined;
      const page = await store.readPage(prefix, after);
      const {items, more, revision} = page;
      body = {
        items: items.map(encodeItem),
        has_more: more,
        store_revision: revision,
      };
    } else {
      const waitMs = Number(query.get('wait_ms'));
      watches.add(res);
      res.once('close', () => watches.delete(res));
      const changes = await store.watch(
        prefix,
        Number(query.get('after')),
        waitMs,
      );
      stateEra();
      if (!changes.events) return void res.writeHead(410).end();
      const {events, revision} = changes;
      body = {events: events.map(encodeItem), store_revision: revision};
    }
    if (isMode('slow')) {
      await new Promise(resolve => setTimeout(resolve, SLOW_ANSWER_DELAY_MS));
    }
    if (isMode('held')) {
      const ms = MAX_HOLD_MS * random();
      await new Promise(resolve => setTimeout(resolve, ms));
    }
    if (isMode('down')) return void res.destroy();
    // A dropped answer leaves the connection open and silent.
    if (isMode('hung') || (isMode('lossy') && random() < 0.5)) return;
    res.end(JSON.stringify(body));
  };
  const server = createServer((req, res) => {
    handleRequest(new URL(req.url ?? '/', 'http://store'), res).catch(
      (err: Error) => {
        process.stderr.write(`store: ${err.message}\n`);
        res.destroy();
      },
    );
  });
  await listen(server, host, port);
  const storeServer: StoreServer = {
    mode: 'sound',
    modeEndsAt: 0,
    cutWatches() {
      for (const res of watches) res.socket?.end();
    },
    close: () => {
      server.closeAllConnections();
      return new Promise(resolve => server.close(() => resolve()));
    },
  };
  return storeServer;
}
