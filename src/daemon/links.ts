import {randomBytes} from 'node:crypto';
import type {IncomingMessage, Server} from 'node:http';
import type {Duplex} from 'node:stream';
import {WebSocket, WebSocketServer, type RawData} from 'ws';
import {
  authSchema,
  canonicalJson,
  helloSchema,
  MAX_FRAME_BYTES,
  parseMessage,
  readRemoteReason,
  sign,
  verify,
  type Hello,
  type MemberRecord,
  type PeerMessage,
} from '../internal.js';
import {decodeFrame, encodeFrame} from './frames.js';

/** URL path of control links on the peer port. */
export const LINK_PATH = '/link';

/** Timeout of the connection and handshake together, ms. */
export const HANDSHAKE_TIMEOUT_MS = 3_000;

/** Limit of the bytes queued to one peer; its link is closed beyond it. */
export const MAX_BUFFERED_BYTES = 4_000_000;

/** Limit of accepted connections that are not yet authenticated. */
export const MAX_PENDING = 16;

/** Largest frame from a peer that is not yet authenticated, bytes. */
export const MAX_HELLO_BYTES = 4_096;

/** Timeout of the close handshake, ms. */
const CLOSE_TIMEOUT_MS = 1_000;

/** Private WebSocket close code; the close reason carries the cause. */
const CLOSE_CODE = 4_000;

/** Dependencies of the control links. */
export interface LinksDeps {
  /** Returns the current record of this daemon. */
  readonly getSelf: () => MemberRecord;
  /** Key that all peers share. */
  readonly peerKey: string;
  readonly onUp: (record: MemberRecord, dialled: boolean) => void;
  /**
   * Called for a lost link, and for a failed dial with the reason `full`,
   * `duplicate` or `dial-failed`.
   */
  readonly onDown: (id: string, reason: string) => void;
  readonly onMessage: (id: string, msg: PeerMessage) => void;
  readonly count: (name: string, by?: number) => void;
  readonly handshakeTimeoutMs?: number;
  readonly maxBufferedBytes?: number;
}

/** Control links of one daemon. */
export interface Links {
  /** Accepts links on the upgrade events of a server. */
  attach(server: Server): void;
  dial(record: MemberRecord): void;
  send(id: string, msg: PeerMessage): void;
  close(id: string, reason: string): void;
  /** Closes all links; resolves when their sockets are closed. */
  stop(): Promise<void>;
}

/** One connection, including its handshake. */
interface Session {
  readonly socket: WebSocket;
  readonly dialled: boolean;
  /** Id of the peer that was dialled. */
  readonly expectedId?: string;
  readonly hello: Hello;
  peerHello?: Hello;
  established: boolean;
  /** Close reason set by this side; the first one is kept. */
  reason?: string;
  timer: NodeJS.Timeout;
}

/** Creates the links of a daemon. */
export function createLinks(deps: LinksDeps): Links {
  const sessions = new Set<Session>();
  /** Established link by peer id; at most one each. */
  const links = new Map<string, Session>();
  const maxBuffered = deps.maxBufferedBytes ?? MAX_BUFFERED_BYTES;
  const wsOptions = {maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false};
  const wss = new WebSocketServer({noServer: true, ...wsOptions});
  let stopped = false;

  function open(
    socket: WebSocket,
    dialled: boolean,
    expectedId?: string,
  ): void {
    const session: Session = {
      socket,
      dialled,
      expectedId,
      hello: createHello(deps.getSelf()),
      established: false,
      timer: setTimeout(
        () => endSession(session, 'handshake-timeout'),
        deps.handshakeTimeoutMs ?? HANDSHAKE_TIMEOUT_MS,
      ),
    };
    sessions.add(session);
    const sendHello = (): void => socket.send(encodeFrame(session.hello));
    if (socket.readyState === WebSocket.OPEN) sendHello();
    else socket.once('open', sendHello);
    socket.on('message', (data, isBinary) => {
      if (session.reason === undefined) receiveFrame(session, data, isBinary);
    });
    socket.on('error', err => handleError(session, err));
    socket.on('close', (code, reason) => {
      handleClose(session, code === CLOSE_CODE ? reason.toString() : '');
    });
  }

  function receiveFrame(
    session: Session,
    data: RawData,
    isBinary: boolean,
  ): void {
    const frame = data as Buffer;
    if (!isBinary) return endSession(session, 'text-frame');
    if (session.established) return receiveMessage(session, frame);
    if (frame.length > MAX_HELLO_BYTES) return endSession(session, 'bad-hello');
    const raw = decodeFrame(frame);
    if (session.peerHello === undefined) receiveHello(session, raw);
    else receiveAuth(session, raw);
  }

  function receiveHello(session: Session, raw: unknown): void {
    const parsed = helloSchema.safeParse(raw);
    if (!parsed.success) return endSession(session, 'bad-hello');
    const {id} = parsed.data.record;
    if (id === session.hello.record.id) return endSession(session, 'own-id');
    if (session.expectedId !== undefined && id !== session.expectedId) {
      return endSession(session, 'wrong-peer');
    }
    session.peerHello = parsed.data;
    const mac = computeMac(deps.peerKey, session, session.dialled);
    session.socket.send(encodeFrame({t: 'auth', mac}));
  }

  function receiveAuth(session: Session, raw: unknown): void {
    const parsed = authSchema.safeParse(raw);
    if (!parsed.success) return endSession(session, 'bad-auth');
    const parts = listMacParts(session, !session.dialled);
    if (!verify(deps.peerKey, parsed.data.mac, ...parts)) {
      return endSession(session, 'bad-auth');
    }
    establish(session);
  }

  function establish(session: Session): void {
    clearTimeout(session.timer);
    session.established = true;
    const {record} = session.peerHello!;
    const old = links.get(record.id);
    if (old && keepsOld(old, session)) return endSession(session, 'duplicate');
    links.set(record.id, session);
    if (old) endSession(old, 'duplicate');
    deps.count('links_established');
    deps.onUp(record, session.dialled);
  }

  function receiveMessage(session: Session, frame: Buffer): void {
    deps.count('link_bytes_received', frame.length);
    const parsed = parseMessage(decodeFrame(frame));
    if (!parsed.ok) return endSession(session, 'bad-message');
    const {id} = session.peerHello!.record;
    // Ignores messages on a link that a newer one has replaced.
    if (links.get(id) === session) deps.onMessage(id, parsed.msg);
  }

  /** Closes a session from this side. */
  function endSession(session: Session, reason: string): void {
    if (session.reason !== undefined) return;
    session.reason = reason;
    clearTimeout(session.timer);
    const {socket} = session;
    if (socket.readyState === WebSocket.CONNECTING) {
      socket.terminate();
      return;
    }
    socket.close(CLOSE_CODE, reason);
    session.timer = setTimeout(() => socket.terminate(), CLOSE_TIMEOUT_MS);
    // A slow peer would otherwise keep the queued bytes in memory.
    if (reason === 'slow-peer') socket.terminate();
    reportClose(session, reason);
  }

  function handleError(session: Session, err: Error): void {
    const {code} = err as NodeJS.ErrnoException;
    if (code === 'WS_ERR_UNSUPPORTED_MESSAGE_LENGTH') {
      session.reason ??= 'oversized';
    } else if (code?.startsWith('WS_ERR_')) {
      session.reason ??= 'bad-frame';
    } else if (err.message.endsWith('503')) {
      // The peer is alive but has too many pending handshakes.
      session.reason ??= 'full';
    }
  }

  function handleClose(session: Session, remoteReason: string): void {
    clearTimeout(session.timer);
    sessions.delete(session);
    reportClose(session, session.reason ?? readRemoteReason(remoteReason));
  }

  const reported = new WeakSet<Session>();

  /** Reports the end of a session once. */
  function reportClose(session: Session, reason: string): void {
    if (reported.has(session)) return;
    reported.add(session);
    deps.count(`link_closed_${reason.replaceAll('-', '_')}`);
    const id = session.peerHello?.record.id ?? session.expectedId;
    if (id === undefined || stopped) return;
    if (session.established) {
      if (links.get(id) !== session) return;
      links.delete(id);
      deps.onDown(id, reason);
    } else if (session.dialled && !links.has(id)) {
      const isHarmless = reason === 'full' || reason === 'duplicate';
      deps.onDown(id, isHarmless ? reason : 'dial-failed');
    }
  }

  function handleUpgrade(
    req: IncomingMessage,
    socket: Duplex,
    head: Buffer,
  ): void {
    if (req.url !== LINK_PATH) return rejectUpgrade(socket, '404 Not Found');
    let pending = 0;
    for (const {established, dialled} of sessions) {
      if (!established && !dialled) pending++;
    }
    if (stopped || pending >= MAX_PENDING) {
      deps.count('link_refused_pending');
      return rejectUpgrade(socket, '503 Service Unavailable');
    }
    wss.handleUpgrade(req, socket, head, ws => open(ws, false));
  }

  return {
    attach(server) {
      server.on('upgrade', handleUpgrade);
    },
    dial(record) {
      if (stopped) return;
      const {id, host, peerPort} = record;
      const name = host.includes(':') ? `[${host}]` : host;
      try {
        const url = `ws://${name}:${peerPort}${LINK_PATH}`;
        open(new WebSocket(url, wsOptions), true, id);
      } catch {
        // Thrown for a host that does not form a valid URL.
        deps.count('link_closed_bad_address');
        deps.onDown(id, 'dial-failed');
      }
    },
    send(id, msg) {
      const session = links.get(id);
      if (session === undefined) return;
      const frame = encodeFrame(msg);
      if (session.socket.bufferedAmount + frame.length > maxBuffered) {
        return endSession(session, 'slow-peer');
      }
      deps.count('link_bytes_sent', frame.length);
      session.socket.send(frame);
    },
    close(id, reason) {
      const session = links.get(id);
      if (session) endSession(session, reason);
    },
    async stop() {
      stopped = true;
      wss.close();
      const closed = [...sessions].map(
        ({socket}) => new Promise(resolve => socket.once('close', resolve)),
      );
      for (const session of sessions) endSession(session, 'leaving');
      await Promise.all(closed);
    },
  };
}

function createHello(record: MemberRecord): Hello {
  const nonce = randomBytes(16).toString('hex');
  return {t: 'hello', proto: 1, record, nonce};
}

/**
 * The MAC covers both hellos, with ids and nonces, and the role of its sender,
 * so that it can be neither replayed nor reflected.
 */
function listMacParts(session: Session, byDialler: boolean): string[] {
  const own = canonicalJson(session.hello);
  const peer = canonicalJson(session.peerHello);
  const hellos = session.dialled ? [own, peer] : [peer, own];
  return ['link', byDialler ? 'dialler' : 'acceptor', ...hellos];
}

function computeMac(key: string, session: Session, byDialler: boolean): string {
  return sign(key, ...listMacParts(session, byDialler));
}

/**
 * Chooses between two links to one peer, the same way at both ends. Of two
 * crossing dials, the one from the smaller id is kept. A peer that restarted
 * or dials again has lost the old link.
 */
function keepsOld(old: Session, fresh: Session): boolean {
  const {id, boot} = fresh.peerHello!.record;
  if (old.peerHello!.record.boot !== boot) return false;
  if (old.dialled === fresh.dialled) return false;
  return old.dialled === fresh.hello.record.id < id;
}

function rejectUpgrade(socket: Duplex, status: string): void {
  socket.on('error', () => socket.destroy());
  socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
}
