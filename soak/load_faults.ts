import {spawnSync} from 'node:child_process';
import {once} from 'node:events';
import {readdirSync, readFileSync} from 'node:fs';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {HEADERS} from '../src/internal.js';
import {type Daemon, PORTS} from './daemons.js';
import {
  type Fault,
  type Harness,
  LARGE_ROUTE,
  pickFrom,
  pickRunningDaemon,
  runRecovery,
} from './harness.js';

/** Time for which upstreams answer with repeated headers, ms. */
const REPEATED_HEADERS_MS = 2_000;

/** Share of the requests that are answered so meanwhile. */
const REPEATED_HEADERS_SHARE = 0.3;

/** Bodies that other daemons forward to one owner at once; together more than the
 * memory of a daemon. */
const FORWARDED_BODIES = 27;
const FORWARDED_BODY_BYTES = 8_000_000;

/** Time for which the last byte of each of them is missing, ms. */
const FORWARD_STALL_MS = 2_000;

/** Customers that stop before the last byte of their bodies; together more than
 * the memory that a daemon has for bodies. */
const STALLED_BODIES = 50;
const STALLED_BODY_BYTES = 900_000;

/** Deadline of these requests, ms, and the time after which one without an answer
 * is a fault; a busy machine is late. */
const STALLED_DEADLINE_MS = 800;
const STALLED_LIMIT_MS = 10_000;

/** Connections with pipelined heads of many short lines, just below the limit of
 * a head; together more than the heap of a daemon. */
const HEAD_CONNECTIONS = 70;
const HEADS_PER_CONNECTION = 31;
const HEAD_LINES = 750;

/** Time for which the upstreams do not answer these requests, ms. */
const HEAD_STALL_MS = 5_000;

/** Chunks of one byte in a body. */
const CHUNKS = 900_000;

/** Time for which the body does not end, ms. */
const CHUNK_STALL_MS = 5_000;

/** Descriptors that a daemon has left, idle connections that take them, and the
 * time until they go, ms. */
const FREE_DESCRIPTORS = 10;
const IDLE_CONNECTIONS = 60;
const IDLE_MS = 3_000;

/** Returns the limit of the open descriptors of a process. */
function readDescriptorLimit(pid: number): number {
  const limits = readFileSync(`/proc/${pid}/limits`, 'utf8');
  return Number(/^Max open files +(\d+)/m.exec(limits)?.[1]);
}

/** Changes that limit. */
function limitDescriptors(pid: number, limit: number): void {
  spawnSync('prlimit', ['--pid', String(pid), `--nofile=${limit}:`]);
}

/** Records that a daemon may be late for its other customers, who then go: it
 * parses for seconds on a busy machine, or has no descriptor for them. */
function markBusy({now}: Harness, daemon: Daemon, ms: number): void {
  daemon.disruptedAt = now() + ms;
}

function openConnection({host}: Daemon, port: number): Socket {
  const socket = connect(port, host);
  // The daemon may end or refuse the request and close.
  socket.on('error', () => {});
  socket.resume();
  return socket;
}

/** Faults by what customers, upstreams and other daemons send (issue 52), by
 * kind. */
export const LOAD_FAULTS: Record<string, Fault> = {
  repeatedHeaders(harness) {
    const service = pickFrom(harness, ['a', 'b']);
    const upstreams = harness.upstreams.filter(u => u.service === service);
    if (upstreams.some(({respond}) => respond)) return undefined;
    const answered = new Set<string>();
    for (const upstream of upstreams) {
      upstream.respond = (id, res) => {
        // The second attempt gets no answer until the deadline.
        if (answered.has(id)) return true;
        if (harness.trafficRandom() >= REPEATED_HEADERS_SHARE) return false;
        answered.add(id);
        res.appendHeader('connection', ['x-first', 'x-second']);
        res.writeHead(500, {'x-server-stamp': `signed ${id}`}).end();
        return true;
      };
    }
    runRecovery(harness, async () => {
      await delay(REPEATED_HEADERS_MS);
      for (const upstream of upstreams) upstream.respond = undefined;
    });
    return `service ${service}`;
  },
  forwardedBodies(harness) {
    const daemon = pickRunningDaemon(harness);
    if (!daemon) return undefined;
    const upstream = harness.upstreams[harness.daemons.indexOf(daemon)];
    const part = Buffer.alloc(FORWARDED_BODY_BYTES - 1, 'x');
    const sockets = Array.from({length: FORWARDED_BODIES}, (_, i) => {
      const socket = openConnection(daemon, PORTS.peer);
      const lines = [
        `POST /large-${upstream.service}/${i} HTTP/1.1`,
        'host: shop.example',
        `${HEADERS.terms}: ${upstream.id},large-${upstream.service},0,4000,8000,f`,
        `content-length: ${FORWARDED_BODY_BYTES}`,
      ];
      socket.write(`${lines.join('\r\n')}\r\n\r\n`);
      socket.write(part);
      return socket;
    });
    runRecovery(harness, async () => {
      await delay(FORWARD_STALL_MS);
      for (const socket of sockets) socket.destroy();
    });
    return `${FORWARDED_BODIES} bodies to ${daemon.name}`;
  },
  stalledBodies(harness) {
    const daemon = pickRunningDaemon(harness);
    if (!daemon) return undefined;
    const part = Buffer.alloc(STALLED_BODY_BYTES - 1, 'x');
    const head = [
      'POST /large-a/1 HTTP/1.1',
      'host: shop.example',
      `x-request-id: s${harness.faults.length}-0`,
      `x-deadline-ms: ${STALLED_DEADLINE_MS}`,
      `content-length: ${STALLED_BODY_BYTES}`,
    ].join('\r\n');
    const sockets = Array.from({length: STALLED_BODIES}, () => {
      const socket = openConnection(daemon, PORTS.customer);
      socket.write(`${head}\r\n\r\n`);
      socket.write(part);
      return socket;
    });
    const ends = sockets.map(socket => {
      const isAnswered = once(socket, 'data');
      return Promise.race([isAnswered, once(socket, 'close')]);
    });
    runRecovery(harness, async () => {
      const limit = delay(STALLED_LIMIT_MS, 'held', {ref: false});
      const result = await Promise.race([Promise.all(ends), limit]);
      for (const socket of sockets) socket.destroy();
      if (result !== 'held') return;
      harness.checker.reportStuck(daemon.name, 'held bodies that stop');
    });
    return `${STALLED_BODIES} bodies to ${daemon.name}`;
  },
  pipelinedHeads(harness) {
    const daemon = pickRunningDaemon(harness);
    if (!daemon) return undefined;
    const {upstreams, checker} = harness;
    if (upstreams.some(({respond}) => respond)) return undefined;
    markBusy(harness, daemon, HEAD_STALL_MS);
    const prefix = `h${harness.faults.length}-`;
    for (const upstream of upstreams) {
      upstream.respond = id => id.startsWith(prefix);
    }
    const caller = harness.services.get(daemon.name) ?? '';
    const lines = Array.from(
      {length: HEAD_LINES},
      (_, i) => `h${i}: ${'x'.repeat(12)}`,
    );
    const sockets = Array.from({length: HEAD_CONNECTIONS}, (_, c) => {
      const socket = openConnection(daemon, PORTS.customer);
      for (let i = 0; i < HEADS_PER_CONNECTION; i++) {
        const id = `${prefix}${c * HEADS_PER_CONNECTION + i}`;
        const path = `/large-a/${id}`;
        const sent = {id, path, body: '', idempotent: true, caller};
        checker.recordSent(sent, LARGE_ROUTE.timeoutMs);
        const head = [
          `GET ${path} HTTP/1.1`,
          'host: shop.example',
          `x-request-id: ${id}`,
          ...lines,
        ];
        socket.write(`${head.join('\r\n')}\r\n\r\n`);
      }
      return socket;
    });
    runRecovery(harness, async () => {
      await delay(HEAD_STALL_MS);
      for (const socket of sockets) socket.destroy();
      for (const upstream of upstreams) upstream.respond = undefined;
    });
    return `${HEAD_CONNECTIONS} connections to ${daemon.name}`;
  },
  smallChunks(harness) {
    const daemon = pickRunningDaemon(harness);
    if (!daemon) return undefined;
    markBusy(harness, daemon, CHUNK_STALL_MS);
    const chunks = Buffer.from('1\r\nx\r\n'.repeat(CHUNKS));
    const head = [
      'POST /large-a/1 HTTP/1.1',
      'host: shop.example',
      `x-request-id: s${harness.faults.length}-0`,
      'transfer-encoding: chunked',
    ].join('\r\n');
    const socket = openConnection(daemon, PORTS.customer);
    socket.write(`${head}\r\n\r\n`);
    socket.write(chunks);
    runRecovery(harness, async () => {
      await delay(CHUNK_STALL_MS);
      socket.destroy();
    });
    return daemon.name;
  },
  fewDescriptors(harness) {
    const daemon = pickRunningDaemon(harness);
    if (daemon?.pid === undefined) return undefined;
    const {pid, incarnation} = daemon;
    const limit = readDescriptorLimit(pid);
    const used = readdirSync(`/proc/${pid}/fd`).length;
    limitDescriptors(pid, used + FREE_DESCRIPTORS);
    const sockets = Array.from({length: IDLE_CONNECTIONS}, () =>
      openConnection(daemon, PORTS.customer),
    );
    markBusy(harness, daemon, IDLE_MS);
    runRecovery(harness, async () => {
      await delay(IDLE_MS);
      for (const socket of sockets) socket.destroy();
      if (daemon.incarnation === incarnation) limitDescriptors(pid, limit);
    });
    return `${daemon.name} at ${used + FREE_DESCRIPTORS}`;
  },
};
