import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import fc from 'fast-check';
import {WebSocket} from 'ws';
import {createCodec, decodeFrame, encodeFrame} from '../src/daemon/frames.js';
import {
  createLinks,
  LINK_PATH,
  MAX_PENDING,
  type Links,
  type LinksDeps,
} from '../src/daemon/links.js';
import {
  MAX_FRAME_BYTES,
  type MemberRecord,
  type MessageOf,
} from '../src/internal.js';

const KEY = 'a-shared-key-for-tests';

interface Endpoint {
  links: Links;
  record: MemberRecord;
  /** Events in order: `up b`, `down b closed`, `msg b want`... */
  log: string[];
  counts: Map<string, number>;
  /** Resolves once the condition holds; checked after every event. */
  until(condition: () => boolean): Promise<void>;
  stop(): Promise<void>;
}

async function createEndpoint(
  id: string,
  options: Partial<LinksDeps> & {boot?: string} = {},
): Promise<Endpoint> {
  const server: Server = createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const record: MemberRecord = {
    id,
    incarnation: 1,
    boot: options.boot ?? 'a'.repeat(16),
    dataCentre: 'd1',
    region: 'r1',
    service: 's1',
    host: '127.0.0.1',
    customerPort: 1,
    peerPort: port,
    state: 'live',
  };
  const log: string[] = [];
  const counts = new Map<string, number>();
  let waiting: Array<() => void> = [];
  const logEvent = (text?: string): void => {
    if (text !== undefined) log.push(text);
    const checks = waiting;
    waiting = [];
    for (const check of checks) check();
  };
  const links = createLinks({
    getSelf: () => record,
    peerKey: KEY,
    onUp: peer => logEvent(`up ${peer.id}`),
    onDown: (peer, reason) => logEvent(`down ${peer} ${reason}`),
    onMessage: (peer, msg) => logEvent(`msg ${peer} ${msg.t}`),
    count: name => {
      counts.set(name, (counts.get(name) ?? 0) + 1);
      logEvent();
    },
    ...options,
  });
  links.attach(server);
  const until = (condition: () => boolean): Promise<void> =>
    new Promise(resolve => {
      const check = (): void => {
        if (condition()) resolve();
        else waiting.push(check);
      };
      check();
    });
  const stop = async (): Promise<void> => {
    await links.stop();
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
  };
  return {links, record, log, counts, until, stop};
}

async function createPair(
  options: Partial<LinksDeps> = {},
): Promise<[Endpoint, Endpoint]> {
  const [a, b] = [
    await createEndpoint('a', options),
    await createEndpoint('b'),
  ];
  a.links.dial(b.record);
  await a.until(() => a.log.includes('up b'));
  await b.until(() => b.log.includes('up a'));
  return [a, b];
}

function want(after = 0): MessageOf<'want'> {
  return {t: 'want', after, version: 0, digest: ''};
}

/** Opens a client that sends raw frames to an endpoint. */
async function openRawSocket(
  endpoint: Endpoint,
  onFrame: (socket: WebSocket, data: Buffer) => void = () => {},
): Promise<WebSocket> {
  const url = `ws://127.0.0.1:${endpoint.record.peerPort}${LINK_PATH}`;
  const socket = new WebSocket(url);
  // The first frame may arrive together with the answer to the upgrade.
  socket.on('message', (data: Buffer) => onFrame(socket, data));
  socket.on('error', () => {});
  await new Promise(resolve => socket.once('open', resolve));
  return socket;
}

function getCount(endpoint: Endpoint, name: string): number {
  return endpoint.counts.get(name) ?? 0;
}

test('a link does not lose or misattribute messages', async t => {
  const [a, b] = await createPair();
  a.links.send('b', want());
  b.links.send('a', {t: 'busy', retryAfterMs: 1});
  await b.until(() => b.log.length === 2);
  await a.until(() => a.log.length === 2);
  t.deepEqual([a.log[1], b.log[1]], ['msg b busy', 'msg a want']);
  await Promise.all([a.stop(), b.stop()]);
});

test('a process without the shared key does not join', async t => {
  const a = await createEndpoint('a', {peerKey: 'another-key-for-tests'});
  const b = await createEndpoint('b');
  a.links.dial(b.record);
  await a.until(() => a.log.length > 0);
  await b.until(() => getCount(b, 'link_closed_bad_auth') > 0);
  t.deepEqual(a.log, ['down b dial-failed']);
  t.deepEqual(b.log, []);
  await Promise.all([a.stop(), b.stop()]);
});

test('another daemon at the address is not accepted as the peer', async t => {
  const [a, b] = [await createEndpoint('a'), await createEndpoint('b')];
  a.links.dial({...b.record, id: 'c'});
  await a.until(() => a.log.length > 0);
  t.deepEqual(a.log, ['down c dial-failed']);
  t.is(getCount(a, 'link_closed_wrong_peer'), 1);
  await Promise.all([a.stop(), b.stop()]);
});

test('a MAC that is reflected to its sender does not authenticate', async t => {
  const a = await createEndpoint('a');
  await openRawSocket(a, (raw, data) => {
    const frame = decodeFrame(data) as {t: string; record: MemberRecord};
    if (frame.t === 'hello') {
      const record = {...frame.record, id: 'b'};
      raw.send(encodeFrame({...frame, record}));
    } else {
      raw.send(data);
    }
  });
  await a.until(() => getCount(a, 'link_closed_bad_auth') > 0);
  t.deepEqual(a.log, []);
  await a.stop();
});

test('crossing dials leave exactly one link', async t => {
  for (const [x, y] of ['ab', 'ba']) {
    const [a, b] = [await createEndpoint(x), await createEndpoint(y)];
    a.links.dial(b.record);
    b.links.dial(a.record);
    const isSettled = (end: Endpoint): boolean =>
      getCount(end, 'link_closed_duplicate') === 1;
    await Promise.all([
      a.until(() => isSettled(a)),
      b.until(() => isSettled(b)),
    ]);
    a.links.send(y, want());
    b.links.send(x, want());
    await a.until(() => a.log.includes(`msg ${y} want`));
    await b.until(() => b.log.includes(`msg ${x} want`));
    for (const end of [a, b]) {
      const ups = end.log.filter(line => line.startsWith('up')).length;
      const downs = end.log.filter(line => line.startsWith('down')).length;
      t.true(ups - downs >= 1);
    }
    await Promise.all([a.stop(), b.stop()]);
  }
});

test('the link of a previous process does not block its successor', async t => {
  const b = await createEndpoint('b');
  const old = await createEndpoint('a');
  old.links.dial(b.record);
  await b.until(() => b.log.includes('up a'));
  const next = await createEndpoint('a', {boot: 'c'.repeat(16)});
  next.links.dial(b.record);
  await next.until(() => next.log.includes('up b'));
  await old.until(() => old.log.includes('down b duplicate'));
  next.links.send('b', want());
  await b.until(() => b.log.includes('msg a want'));
  t.deepEqual(b.log, ['up a', 'up a', 'msg a want']);
  await Promise.all([b.stop(), old.stop(), next.stop()]);
});

test('a second hello does not change the identity of a link', async t => {
  const [a, b] = await createPair();
  const record = {...a.record, id: 'z'};
  const hello = {t: 'hello', proto: 1, record, nonce: '0'.repeat(32)};
  a.links.send('b', hello as unknown as MessageOf<'want'>);
  await b.until(() => b.log.includes('down a bad-message'));
  t.is(getCount(b, 'link_closed_bad_message'), 1);
  await a.until(() => a.log.includes('down b closed'));
  await Promise.all([a.stop(), b.stop()]);
});

test('an oversized frame closes only its link', async t => {
  const [a, b] = await createPair();
  const value = 'x'.repeat(MAX_FRAME_BYTES);
  const entries = [{index: 1, prev: 0, kind: 'patch', value}];
  a.links.send('b', {t: 'entries', after: 0, entries});
  await b.until(() => b.log.includes('down a oversized'));
  t.is(getCount(b, 'link_closed_oversized'), 1);
  await Promise.all([a.stop(), b.stop()]);
});

test('a peer that reads slowly does not use unbounded memory', async t => {
  const [a, b] = await createPair({maxBufferedBytes: 1_000});
  const entries = [{index: 1, prev: 0, kind: 'p', value: 'x'.repeat(2_000)}];
  a.links.send('b', {t: 'entries', after: 0, entries});
  t.deepEqual(a.log, ['up b', 'down b slow-peer']);
  await b.until(() => b.log.includes('down a closed'));
  await Promise.all([a.stop(), b.stop()]);
});

test('a silent connection does not stay open', async t => {
  const a = await createEndpoint('a', {handshakeTimeoutMs: 20});
  const raw = await openRawSocket(a);
  await new Promise(resolve => raw.once('close', resolve));
  t.is(getCount(a, 'link_closed_handshake_timeout'), 1);
  await a.stop();
});

test('pending handshakes are limited, and a dial reports full', async t => {
  const [a, b] = [await createEndpoint('a'), await createEndpoint('b')];
  const raws: WebSocket[] = [];
  for (let i = 0; i < MAX_PENDING; i++) raws.push(await openRawSocket(b));
  a.links.dial(b.record);
  await a.until(() => a.log.length > 0);
  t.deepEqual(a.log, ['down b full']);
  t.is(getCount(b, 'link_refused_pending'), 1);
  for (const raw of raws) raw.terminate();
  await Promise.all([a.stop(), b.stop()]);
});

test('a dial to a closed port or an invalid host fails', async t => {
  const [a, b] = [await createEndpoint('a'), await createEndpoint('b')];
  await b.stop();
  a.links.dial(b.record);
  a.links.dial({...b.record, host: 'not a host'});
  await a.until(() => a.log.length === 2);
  t.deepEqual(a.log, ['down b dial-failed', 'down b dial-failed']);
  await a.stop();
});

test('malformed first frames close only their connection', async t => {
  const a = await createEndpoint('a');
  const bytes = fc.uint8Array({minLength: 1, maxLength: 200});
  const value = fc.object().map(encodeFrame);
  const runs = fc.asyncProperty(fc.oneof(bytes, value), async frame => {
    const raw = await openRawSocket(a);
    raw.send(frame);
    await new Promise(resolve => raw.once('close', resolve));
  });
  await fc.assert(runs, {seed: 21, numRuns: 40});
  await a.until(() => getCount(a, 'link_closed_bad_hello') >= 40);
  t.deepEqual(a.log, []);
  await a.stop();
});

test('the structure tables of two codecs stay equal', t => {
  const [sender, receiver] = [createCodec(), createCodec()];
  const msgs: unknown[] = [
    {t: 'members', records: [{id: 'a', incarnation: 1}]},
    {t: 'entries', after: 0, entries: [{index: 1, prev: 0, kind: 'p'}]},
    want(),
  ];
  for (let i = 0; i < 60; i++) msgs.push({[`field${i}`]: i}, {...want(), i});
  for (const msg of [...msgs, ...msgs.reverse()]) {
    t.deepEqual(receiver.decodeFrame(sender.encodeFrame(msg)), msg);
  }
});

test('malformed frames neither throw nor decode to values outside JSON', t => {
  const bytes = fc.property(fc.uint8Array({maxLength: 300}), frame => {
    t.notThrows(() => JSON.stringify(decodeFrame(frame)));
  });
  fc.assert(bytes, {seed: 22, numRuns: 500});
  for (const odd of [new Date(0), new Map(), 2n ** 60n, NaN, undefined]) {
    t.is(decodeFrame(encodeFrame({value: [odd]})), undefined);
  }
  let deep: unknown = 1;
  for (let i = 0; i < 1_000; i++) deep = [deep];
  t.is(decodeFrame(encodeFrame(deep)), undefined);
});
