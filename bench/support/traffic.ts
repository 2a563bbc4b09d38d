import {readFileSync} from 'node:fs';
import {build, type Histogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';

/** Deadline of each customer request, ms. */
export const CUSTOMER_TIMEOUT_MS = 1_000;

const CLOCK_TICKS_PER_S = 100;
const SEND_EVERY_MS = 4;

/** Results of the customer requests of one phase. */
export interface Received {
  sent: number;
  answered: number;
  /** Refusals whose verdict is that the request did not run. */
  refused: number;
  /** Failures after which the request may have run. */
  unclear: number;
  /** Latencies of answers, microseconds. */
  latency: Histogram;
}

/** One request of the generated load. */
export interface TrafficRequest {
  url: string;
  method: 'GET' | 'POST';
  /** Name of the operation in the ledger. */
  operation: string;
}

/** Operations refused as not run, to compare with the ledger. */
export type NotRunOperations = Set<string>;

/** Creates the empty results of a phase. */
export function createReceived(): Received {
  const latency = build({highestTrackableValue: 60_000_000});
  return {sent: 0, answered: 0, refused: 0, unclear: 0, latency};
}

/** Creates the connection pool of the customers. */
export function createAgent(): Agent {
  return new Agent({pipelining: 1, connections: 256});
}

/** Sends one request and records its result. */
export async function sendOne(
  agent: Agent,
  {url, method, operation}: TrafficRequest,
  received: Received,
  notRun: NotRunOperations,
): Promise<void> {
  const startedAt = performance.now();
  received.sent++;
  try {
    const res = await request(url, {
      dispatcher: agent,
      method,
      headers: {'berylbend-deadline-ms': String(CUSTOMER_TIMEOUT_MS)},
      signal: AbortSignal.timeout(CUSTOMER_TIMEOUT_MS + 200),
    });
    await res.body.dump();
    const latencyUs = Math.round((performance.now() - startedAt) * 1_000);
    if (res.statusCode === 200) {
      received.answered++;
      received.latency.recordValue(latencyUs);
    } else if (res.headers['berylbend-verdict'] === 'not-run') {
      received.refused++;
      notRun.add(operation);
    } else {
      received.unclear++;
    }
  } catch {
    received.unclear++;
  }
}

/** Sends at a fixed rate, independent of the answers (an open loop). */
export async function sendAtRate(
  agent: Agent,
  perSecond: number,
  seconds: number,
  createRequest: () => TrafficRequest,
  received: Received,
  notRun: NotRunOperations,
): Promise<void> {
  const startedAt = performance.now();
  const pending: Promise<void>[] = [];
  const total = Math.round(perSecond * seconds);
  while (pending.length < total) {
    const elapsedS = (performance.now() - startedAt) / 1_000;
    const requestsDue = Math.min(total, Math.ceil(elapsedS * perSecond));
    while (pending.length < requestsDue) {
      pending.push(sendOne(agent, createRequest(), received, notRun));
    }
    await new Promise(resolve => setTimeout(resolve, SEND_EVERY_MS));
  }
  await Promise.all(pending);
}

/** Reads the CPU time that a process has used, s. */
export function readCpuS(pid: number): number {
  const statText = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = statText.slice(statText.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_S;
}

/** Reads the latency at a percentile, ms. */
export function readMs(latency: Histogram, percentile: number): number {
  if (latency.totalCount === 0) return 0;
  return round(latency.getValueAtPercentile(percentile) / 1_000);
}

/** Rounds to two decimals. */
export function round(value: number): number {
  return Math.round(value * 100) / 100;
}
