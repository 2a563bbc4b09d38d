import {once} from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import type {ExecutionContext} from 'ava';
import {startDaemon} from '../../src/daemon/daemon.js';
import {
  computeDigest,
  FORWARD_PREFIX,
  HEADERS,
  settingsSchema,
  sign,
} from '../../src/internal.js';
import {createConfigService} from '../../standins/config_service.js';
import {createInstanceList} from '../../standins/instance_list.js';
import {findPort, OWN_ADDRESS} from '../../standins/ports.js';
import {createDocument, createRecord, PEER_KEY, until} from './owner_fake.js';

/** A connection and all that it has received. */
export interface RawConnection {
  readonly socket: Socket;
  text: string;
  /** Resolves at the end of the input or at the close. */
  readonly ended: Promise<unknown>;
}

/** Opens a connection to a server of this process. */
export async function openConnection(
  t: ExecutionContext,
  port: number,
  host = '127.0.0.1',
): Promise<RawConnection> {
  const socket = connect({port, host, allowHalfOpen: true});
  t.teardown(() => socket.destroy());
  const ended = new Promise(resolve => {
    socket.once('end', resolve);
    socket.once('close', resolve);
  });
  const connection = {socket, text: '', ended};
  socket.setEncoding('latin1');
  socket.on('data', (chunk: string) => (connection.text += chunk));
  socket.on('error', () => {});
  await once(socket, 'connect');
  return connection;
}

/** Starts a daemon in this process; its upstream leaves the requests with some
 * labels to the test. */
export async function startHarness(
  t: ExecutionContext,
  heldLabels: readonly string[] = [],
) {
  const runs: string[] = [];
  const held = new Map<string, ServerResponse>();
  const upstream = createServer((req, res) => {
    if (req.url === '/health') return void res.end();
    const label = readLabel(req);
    runs.push(label);
    res.setHeader('x-label', label);
    if (heldLabels.includes(label)) held.set(label, res);
    else res.end('hello');
  });
  upstream.listen(0, '127.0.0.1');
  await once(upstream, 'listening');
  const config = createConfigService();
  const list = createInstanceList();
  const {port} = upstream.address() as AddressInfo;
  const settings = settingsSchema.parse({
    id: 'u1',
    service: 'shop',
    dataCentre: 'dc-a',
    region: 'r1',
    listen: {
      host: OWN_ADDRESS,
      customerPort: await findPort(),
      peerPort: await findPort(),
      adminHost: OWN_ADDRESS,
      adminPort: await findPort(),
    },
    upstream: {url: `http://127.0.0.1:${port}`},
    platform: {configUrl: await config.listen(), listUrl: await list.listen()},
    peerKey: PEER_KEY,
    log: {level: 'error'},
  });
  const {listen} = settings;
  const {host, customerPort, peerPort, adminPort} = listen;
  list.register(createRecord({id: 'u1', host, customerPort, peerPort}));
  const document = createDocument();
  const digest = computeDigest(document);
  const snapshot = {version: 1, digest, document, author: 'a', note: 'n'};
  config.publish('snapshot', snapshot);
  const daemon = await startDaemon(settings);
  const {board} = daemon;
  await until(() => board.config.inForce !== undefined && !board.viewStale);
  let stopped: Promise<void> | undefined;
  const stop = () => (stopped ??= daemon.stop());
  t.teardown(async () => {
    for (const res of held.values()) res.destroy();
    await stop();
    upstream.closeAllConnections();
    upstream.close();
    await Promise.all([config.close(), list.close()]);
  });
  const open = (port: number) => openConnection(t, port, host);
  return {
    board,
    runs,
    stop,
    open: {
      customer: () => open(customerPort),
      peer: () => open(peerPort),
      admin: () => open(adminPort),
    },
    /** Waits until the upstream runs a request that is left to the test. */
    async hold(label: string): Promise<ServerResponse> {
      await until(() => held.has(label));
      return held.get(label)!;
    },
  };
}

function readLabel({headers}: IncomingMessage): string {
  return String(headers['x-label'] ?? '');
}

/** Formats a request; a booking has a body. */
export function formatRequest(label: string, first = 'GET /read'): string {
  const body = first.startsWith('POST') ? 'order' : '';
  return [
    `${first} HTTP/1.1`,
    'host: shop.example',
    `x-label: ${label}`,
    `content-length: ${body.length}`,
    '',
    body,
  ].join('\r\n');
}

/** Formats a booking as the entry of another daemon forwards it. */
export function formatForward(label: string, deadlineMs: number): string {
  const fingerprint = '0'.repeat(32);
  const mac = sign(PEER_KEY, label, 'book', fingerprint, '', `${deadlineMs}`);
  const headers = {
    'x-label': label,
    [HEADERS.id]: label,
    [HEADERS.route]: 'book',
    [HEADERS.fingerprint]: fingerprint,
    [HEADERS.deadlineMs]: deadlineMs,
    [HEADERS.depth]: 1,
    [HEADERS.budget]: 1,
    [HEADERS.version]: 1,
    [HEADERS.auth]: mac,
  };
  const lines = Object.entries(headers).map(([name, v]) => `${name}: ${v}`);
  const head = [`POST ${FORWARD_PREFIX}/book HTTP/1.1`, 'host: u1', ...lines];
  return `${head.join('\r\n')}\r\ncontent-length: 5\r\n\r\norder`;
}

/** Status, label and announced close of each answer, in order. */
export function listAnswers(text: string): string[] {
  return text
    .split(/(?=HTTP\/1\.1 \d{3} )/)
    .filter(answer => answer.startsWith('HTTP/'))
    .map(answer => {
      const [head] = answer.split('\r\n\r\n', 1);
      const label = /^x-label: (\w+)/im.exec(head)?.[1] ?? '-';
      const closes = /^connection: close/im.test(head) ? ' close' : '';
      return `${head.slice(9, 12)} ${label}${closes}`;
    });
}

/** Keeps this process busy, as in a pause of the machine. */
export function block(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}
