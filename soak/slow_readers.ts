import {readFileSync} from 'node:fs';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import type {Checker} from './checker.js';
import {type Daemon, MEMORY_MB, PORTS} from './daemons.js';
import {
  type Fault,
  type Harness,
  LARGE_ROUTE,
  pickRunningDaemon,
  runRecovery,
} from './harness.js';
import {SIZE_PARAMETER} from './upstream.js';

/** Connections of one such fault, each with one request. */
const CONNECTIONS = 80;

/** Size of an answer, bytes. The kernel takes about 1 MB of it, the daemon holds
 * the rest. */
const ANSWER_BYTES = 4_000_000;

/** Time between two connections, ms; upstreams refuse more at the same time. */
const CONNECT_INTERVAL_MS = 60;

/** Time after the last request until the customers go, ms. */
const STALL_MS = 3_000;

/** Interval at which the memory of the daemons is read, ms. */
const MEMORY_INTERVAL_MS = 250;

/** True while such customers wait; more of them would only be refused. */
let isUnderWay = false;

/** Customers that request large answers of one daemon, read nothing and go. */
export const slowReaders: Fault = harness => {
  if (isUnderWay) return undefined;
  const daemon = pickRunningDaemon(harness);
  if (!daemon) return undefined;
  const fault = harness.faults.length;
  isUnderWay = true;
  runRecovery(harness, async () => {
    const sockets: Socket[] = [];
    for (let i = 0; i < CONNECTIONS && daemon.running; i++) {
      sockets.push(openSlowReader(harness, daemon, `s${fault}-${i}`));
      await delay(CONNECT_INTERVAL_MS);
    }
    await delay(STALL_MS);
    for (const socket of sockets) socket.destroy();
    isUnderWay = false;
  });
  return `${CONNECTIONS} connections to ${daemon.name}`;
};

/** Records a request for a large answer, which its customer waits for until the
 * timeout of the route; returns its path. */
export function recordLargeRequest(
  {checker, trafficRandom, services}: Harness,
  daemon: Daemon,
  id: string,
  bytes: number,
): string {
  const caller = services.get(daemon.name) ?? '';
  const service = trafficRandom() < 0.5 ? 'a' : 'b';
  const path = `/large-${service}/1?${SIZE_PARAMETER}=${bytes}`;
  checker.recordSent(
    {id, path, body: '', idempotent: true, caller},
    LARGE_ROUTE.timeoutMs,
  );
  return path;
}

function openSlowReader(harness: Harness, daemon: Daemon, id: string): Socket {
  const socket = connect(PORTS.customer, daemon.host);
  socket.on('error', () => {});
  socket.pause();
  const path = recordLargeRequest(harness, daemon, id, ANSWER_BYTES);
  const lines = [
    `GET ${path} HTTP/1.1`,
    'host: shop.example',
    `x-request-id: ${id}`,
  ];
  socket.write(`${lines.join('\r\n')}\r\n\r\n`);
  return socket;
}

/** Checks the resident memory of the daemons, of which the platform ends one above
 * its limit; returns a stop function with the largest figure, MB. */
export function checkMemory(
  daemons: readonly Daemon[],
  checker: Checker,
): () => number {
  let largestMb = 0;
  const reported = new Set<string>();
  const check = (): void => {
    for (const {name, pid, incarnation} of daemons) {
      const mb = pid === undefined ? 0 : readPeakMb(pid);
      largestMb = Math.max(largestMb, mb);
      const id = `${name}-${incarnation}`;
      if (mb <= MEMORY_MB || reported.has(id)) continue;
      reported.add(id);
      checker.reportMemory(name, mb, MEMORY_MB);
    }
  };
  const timer = setInterval(check, MEMORY_INTERVAL_MS);
  return () => {
    check();
    clearInterval(timer);
    return largestMb;
  };
}

/** Largest resident memory of a process so far, MB; 0 if it has ended. */
function readPeakMb(pid: number): number {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/^VmHWM:\s+(\d+)/m.exec(status)?.[1] ?? 0) / 1_024;
  } catch {
    return 0;
  }
}
