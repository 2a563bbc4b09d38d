import {once} from 'node:events';
import {createServer, request, type IncomingHttpHeaders} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Clock} from '@sinonjs/fake-timers';
import {createOwner} from '../../src/daemon/owner.js';
import {createUpstream} from '../../src/daemon/upstream.js';
import {
  createBoard,
  createRandom,
  documentSchema,
  HEADERS,
  mintKey,
  sign,
  type Board,
  type MemberRecord,
} from '../../src/internal.js';
import type {UpstreamFake} from './upstream_fake.js';

const PEER_KEY = 'a shared key of the peers';

const SELF: MemberRecord = {
  id: 'up-1',
  incarnation: 1,
  boot: 'a'.repeat(16),
  dataCentre: 'dc-1',
  region: 'north',
  service: 'orders',
  host: '127.0.0.1',
  customerPort: 1,
  peerPort: 1,
  state: 'live',
};

/** Reply to a forwarded request; `cut` if its connection broke early. */
export interface Reply {
  status: number;
  /** Status, verdict and reason. */
  summary: string;
  headers: IncomingHttpHeaders;
  body: string;
  cut: boolean;
}

/** Options of a forwarded request. */
export interface SendOptions {
  path?: string;
  method?: string;
  body?: string;
  key?: string;
  organisation?: string;
  deadlineMs?: string;
  /** Text that the fingerprint is derived from; the id when absent. */
  fingerprintText?: string;
  /** Headers added or replaced after signing. */
  headers?: Record<string, string>;
  signal?: AbortSignal;
  /** Called for each chunk of the body. */
  onData?: () => void;
  /** Reading pauses after the first chunk until this resolves. */
  pause?: Promise<void>;
}

/** Owner on a loopback port in front of a fake upstream. */
export type OwnerHarness = Awaited<ReturnType<typeof startOwner>>;

/** Puts a new version in force, with one data centre in the given state. */
export function activateConfig(board: Board, state: 'in' | 'out'): void {
  const service = {slots: 6, connections: 6, dataCentres: ['dc-1']};
  const route = {pathPrefix: '/', methods: ['GET', 'POST'], service: 'orders'};
  const document = documentSchema.parse({
    dataCentres: {'dc-1': {region: 'north', state}},
    services: {orders: service, stock: service},
    routes: {all: route, stock: {...route, service: 'stock'}},
  });
  const version = (board.config.inForce?.version ?? 0) + 1;
  board.config.inForce = {version, digest: '', index: version, document};
}

/** Starts an owner; a second one on the same fake is a restarted process. */
export async function startOwner(
  clock: Clock,
  fake: UpstreamFake,
  boot: string = SELF.boot,
  skewMs = 0,
) {
  const self = {...SELF, boot};
  const board = createBoard(self, createRandom(1), clock.now);
  activateConfig(board, 'in');
  const crashes: string[][] = [];
  const owner = createOwner({
    board,
    peerKey: PEER_KEY,
    upstream: createUpstream(fake.url, 6),
    reportCrash: fingerprints => crashes.push(fingerprints),
    now: () => clock.now,
    wallAtStart: 1e12 + clock.now + skewMs,
  });
  const server = createServer(owner);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  return {
    owner,
    board,
    fake,
    crashes,
    mint(nonce: string): string {
      const expiresAt = 1e12 + clock.now + 600_000;
      return mintKey(PEER_KEY, {owner: self.id, boot, expiresAt, nonce});
    },
    send: (id: string, options: SendOptions = {}) =>
      sendForward(port, id, options),
    setDataCentre: (state: 'in' | 'out') => activateConfig(board, state),
    async close(): Promise<void> {
      server.closeAllConnections();
      await owner.stop();
      server.close();
    },
  };
}

/** Sends a request as an entry does. */
function sendForward(
  port: number,
  id: string,
  options: SendOptions,
): Promise<Reply> {
  const {key, deadlineMs = '5000', path = '/ok', signal} = options;
  const fingerprint = Buffer.from((options.fingerprintText ?? id).padEnd(8))
    .toString('hex')
    .slice(0, 64);
  const organisation = options.organisation ?? [];
  const mac = sign(
    PEER_KEY,
    ...[id, 'all', fingerprint, key ?? '', deadlineMs],
    ...[organisation].flat(),
  );
  const headers: Record<string, string> = {
    [HEADERS.id]: id,
    [HEADERS.route]: 'all',
    [HEADERS.fingerprint]: fingerprint,
    [HEADERS.deadlineMs]: deadlineMs,
    [HEADERS.depth]: '2',
    [HEADERS.budget]: '1',
    [HEADERS.version]: '1',
    [HEADERS.auth]: mac,
    ...(key !== undefined && {[HEADERS.key]: key}),
    ...(options.organisation && {[HEADERS.organisation]: options.organisation}),
    ...options.headers,
  };
  const method = options.method ?? 'POST';
  const target = {host: '127.0.0.1', port, path: `/forward${path}`};
  return new Promise((resolve, reject) => {
    const req = request({...target, method, headers, agent: false, signal});
    req.on('error', reject);
    req.on('response', res => {
      let body = '';
      const {headers, statusCode: status = 0} = res;
      const parts = [status, headers[HEADERS.verdict], headers[HEADERS.reason]];
      const summary = parts.join(' ');
      const end = () =>
        resolve({status, summary, headers, body, cut: !res.complete});
      res.on('error', () => undefined);
      res.on('data', chunk => {
        body += String(chunk);
        options.onData?.();
      });
      if (options.pause) {
        res.once('data', () => res.pause());
        void options.pause.then(() => res.resume());
      }
      res.on('close', end);
    });
    req.end(options.body ?? '');
  });
}

/** Waits for one turn of the event loop, without any timer. */
export function nextTurn(): Promise<unknown> {
  return new Promise(resolve => setImmediate(resolve));
}

/** Waits until a condition holds, without any timer. */
export async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await nextTurn();
}
