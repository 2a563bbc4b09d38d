import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {
  FORWARD_PREFIX,
  HEADERS,
  createBoard,
  createRandom,
  handleCrash,
  mintKey,
  verify,
  type Board,
  type Document,
  type Effect,
  type Member,
  type MemberRecord,
  type Outcome,
} from '../../src/internal.js';
import {
  createEntry,
  type Entry,
  type EntryDeps,
} from '../../src/daemon/entry.js';
import {serveCustomers} from '../../src/daemon/customer_server.js';
import {sendRefusal} from '../../src/daemon/http.js';
import {findPort, OWN_ADDRESS} from '../../standins/ports.js';

/** Shared key of the daemons under test. */
export const PEER_KEY = 'test-key-of-16-chars';

/** One request as an owner or upstream received it. */
export interface ReceivedRequest {
  readonly label: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly target: string;
  readonly body: string;
}

/** What an owner does with a request; a function sends the reply itself. */
export type Step =
  | 'answer'
  | 'resetBefore'
  | 'resetAfter'
  | 'cut'
  | 'crossed'
  | 'crash'
  | Outcome
  | ((res: ServerResponse, seen: ReceivedRequest) => void);

/** One run of a request at an upstream, as recorded in the ledger. */
export interface Run {
  readonly label: string;
  readonly upstream: string;
}

/** An owner and its upstream; also answers direct calls as the upstream. */
export interface OwnerFake {
  readonly record: MemberRecord;
  readonly seen: ReceivedRequest[];
  step: (seen: ReceivedRequest) => Step;
  /** True after a crash; the upstream then runs nothing. */
  crashed: boolean;
  stop(): Promise<void>;
  start(): Promise<void>;
}

/** Starts an owner on loopback that records its runs in the ledger. */
export async function startOwner(
  ledger: Run[],
  record: Partial<MemberRecord> & {id: string},
): Promise<OwnerFake> {
  const owner: OwnerFake = {
    record: createRecord(record),
    seen: [],
    step: () => 'answer',
    crashed: false,
    start: () => listen(server, owner.record.peerPort, OWN_ADDRESS),
    stop: () => closeServer(server),
  };
  const server = http.createServer((req, res) => {
    void readAll(req).then(body => serve(owner, ledger, req, res, body));
  });
  // The port must still be free when the owner restarts.
  owner.record.peerPort = await findPort();
  await listen(server, owner.record.peerPort, OWN_ADDRESS);
  return owner;
}

async function readAll(req: IncomingMessage): Promise<string> {
  let body = '';
  try {
    for await (const chunk of req) body += String(chunk);
  } catch {
    // The entry closed the connection; no reply is needed.
  }
  return body;
}

function serve(
  owner: OwnerFake,
  ledger: Run[],
  req: IncomingMessage,
  res: ServerResponse,
  body: string,
): void {
  const {headers} = req;
  const label = String(headers['x-label'] ?? '');
  const seen = {label, headers, target: req.url ?? '', body};
  owner.seen.push(seen);
  const forwarded = seen.target.startsWith(FORWARD_PREFIX);
  if (forwarded && !isAuthentic(headers)) return void res.destroy();
  let step = owner.step(seen);
  if (owner.crashed) step = 'upstreamDown';
  const id = String(headers[HEADERS.id] ?? '');
  const run = () => ledger.push({label, upstream: owner.record.id});
  const head = () =>
    res.writeHead(200, {
      [HEADERS.id]: step === 'crossed' ? 'another-request' : id,
      [HEADERS.verdict]: 'ran',
      [HEADERS.load]: '8,1,0,0',
    });
  if (typeof step === 'function') return step(res, seen);
  switch (step) {
    case 'resetBefore':
      return void res.destroy();
    case 'resetAfter':
      run();
      return void res.destroy();
    case 'cut':
      run();
      head().write('part');
      return void setImmediate(() => res.destroy());
    case 'crash':
      run();
      owner.crashed = true;
      if (!forwarded) return void res.destroy();
      return sendRefusal(res, 'upstreamCrashed', id);
    case 'answer':
    case 'crossed':
      run();
      return void head().end(`answer to ${label}`);
    default:
      return sendRefusal(res, step, id);
  }
}

function isAuthentic(headers: http.IncomingHttpHeaders): boolean {
  const read = (name: string) => String(headers[name] ?? '');
  const organisation = headers[HEADERS.organisation];
  return verify(
    PEER_KEY,
    read(HEADERS.auth),
    read(HEADERS.id),
    read(HEADERS.route),
    read(HEADERS.fingerprint),
    read(HEADERS.key),
    read(HEADERS.deadlineMs),
    ...(organisation === undefined ? [] : [String(organisation)]),
  );
}

async function listen(
  server: http.Server,
  port: number,
  host = '127.0.0.1',
): Promise<void> {
  const listening = once(server, 'listening');
  server.listen(port, host);
  await listening;
}

function closeServer(server: http.Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

/** Member record with defaults: service `shop` in data centre `dc-a`. */
export function createRecord(
  fields: Partial<MemberRecord> & {id: string},
): MemberRecord {
  return {
    incarnation: 1,
    boot: '00000000000000b1',
    dataCentre: 'dc-a',
    region: 'r1',
    service: 'shop',
    host: OWN_ADDRESS,
    customerPort: 1,
    peerPort: 1,
    state: 'live',
    ...fields,
  };
}

/** Document with idempotent read routes and a non-idempotent booking route. */
export function createDocument(out: string[] = []): Document {
  const state = (name: string) => (out.includes(name) ? 'out' : 'in');
  const service = {slots: 8, connections: 100, downloadShare: 0.5};
  const dataCentres = ['dc-a', 'dc-b', 'dc-c'];
  const route = {service: 'shop', timeoutMs: 10_000};
  return {
    dataCentres: {
      'dc-a': {region: 'r1', state: state('dc-a')},
      'dc-b': {region: 'r1', state: state('dc-b')},
      'dc-c': {region: 'r2', state: state('dc-c')},
    },
    services: {
      shop: {...service, dataCentres, expectedMs: 50},
      idle: {...service, dataCentres, expectedMs: 50},
    },
    routes: {
      read: {
        ...route,
        pathPrefix: '/read',
        methods: ['GET', 'HEAD'],
        idempotent: true,
        priority: 'read',
      },
      book: {
        ...route,
        pathPrefix: '/book',
        methods: ['POST'],
        idempotent: false,
        priority: 'booking',
      },
      idle: {
        ...route,
        service: 'idle',
        pathPrefix: '/idle',
        methods: ['GET'],
        idempotent: true,
        priority: 'read',
      },
    },
  };
}

/** An entry that listens on loopback. */
export interface EntryHarness {
  readonly board: Board;
  readonly entry: Entry;
  readonly port: number;
  /** Monotonic time of the entry, ms; advanced by the test. */
  now: number;
  /** Entries that receive the crash reports of this one. */
  peers: EntryHarness[];
  stop(): Promise<void>;
}

/** Starts an entry in `dc-a` that knows the given members. */
export async function startEntry(
  members: readonly MemberRecord[],
  options: {id?: string; seed?: number; deps?: Partial<EntryDeps>} = {},
): Promise<EntryHarness> {
  const {id = 'entry', seed = 1} = options;
  const self = createRecord({id, service: 'none'});
  const board = createBoard(self, createRandom(seed), 0);
  setDocument(board, 1, createDocument());
  for (const record of members) {
    board.members.byId.set(record.id, createMember(record));
  }
  const harness: EntryHarness = {
    board,
    entry: createEntry({
      board,
      peerKey: PEER_KEY,
      now: () => harness.now,
      execute: effects => deliver(harness, effects),
      ...options.deps,
    }),
    port: 0,
    now: 0,
    peers: [],
    async stop() {
      await harness.entry.stop();
      await closeServer(server);
    },
  };
  const server = http.createServer();
  const {entry} = harness;
  serveCustomers(server, {
    handle: entry,
    answerError: entry.answerError,
  });
  await listen(server, 0);
  const {port} = server.address() as AddressInfo;
  return Object.assign(harness, {port});
}

/** Links entries so that crash reports are delivered immediately. */
export function linkEntries(harnesses: readonly EntryHarness[]): void {
  for (const harness of harnesses) {
    harness.peers = harnesses.filter(other => other !== harness);
    for (const {board} of harness.peers) {
      const peer = board.self.id;
      harness.board.links.set(peer, {
        peer,
        dialled: true,
        upAt: 0,
        lastReceivedAt: 0,
      });
    }
  }
}

function deliver(from: EntryHarness, effects: Effect[]): void {
  for (const effect of effects) {
    if (effect.kind !== 'send' || effect.msg.t !== 'crash') continue;
    const peer = from.peers.find(({board}) => board.self.id === effect.to);
    if (!peer) continue;
    const sender = from.board.self.id;
    deliver(peer, handleCrash(peer.board, sender, effect.msg, peer.now));
  }
}

function createMember(record: MemberRecord): Member {
  return {
    record,
    lastSeenAt: 0,
    changedAt: 0,
    listed: true,
    needsProbe: false,
    dialFailures: 0,
    nextDialAt: 0,
  };
}

/** Creates a key that is bound to the process of an owner. */
export function createKey(owner: string, nonce = 'n'): string {
  const boot = '00000000000000b1';
  return mintKey(PEER_KEY, {owner, boot, expiresAt: 1, nonce});
}

/** Puts a document in force as the given version. */
export function setDocument(
  board: Board,
  version: number,
  document: Document,
): void {
  const digest = '0'.repeat(32);
  board.config.inForce = {version, digest, index: version, document};
}

/** Answer as a customer saw it; status 0 when the connection was cut. */
export interface Reply {
  readonly status: number;
  readonly verdict: string;
  readonly reason: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** Sends a customer request over a connection of its own. */
export function call(
  port: number,
  method: string,
  path: string,
  options: {headers?: Record<string, string>; body?: string} = {},
): Promise<Reply> {
  const cut = (headers: http.IncomingHttpHeaders = {}): Reply => ({
    status: 0,
    verdict: 'may-have-run',
    reason: 'cut',
    headers,
    body: '',
  });
  return new Promise(resolve => {
    const {headers, body} = options;
    const req = http.request({port, method, path, headers, agent: false});
    req.on('error', () => resolve(cut()));
    req.on('response', res => {
      let text = '';
      res.on('data', chunk => (text += String(chunk)));
      res.on('error', () => resolve(cut(res.headers)));
      res.on('end', () =>
        resolve({
          status: res.statusCode ?? 0,
          verdict: String(res.headers[HEADERS.verdict] ?? ''),
          reason: String(res.headers[HEADERS.reason] ?? ''),
          headers: res.headers,
          body: text,
        }),
      );
    });
    req.end(body);
  });
}

/** Waits until a condition holds, without a timer that a clock could fake. */
export async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setImmediate(resolve));
}
