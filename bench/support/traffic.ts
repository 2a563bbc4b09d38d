import {readFileSync} from 'node:fs';
import {build, type Histogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';

/** Customers give up after this time, ms. */
export const CUSTOMER_TIMEOUT_MS = 1_000;

const CLOCK_TICKS_PER_S = 100;
const SEND_EVERY_MS = 4;

/** What customers received while a phase lasted. */
export interface Received {
  sent: number;
  answered: number;
  /** Refusals that state that the request was not run. */
  refused: number;
  /** Failures after which the request may have run. */
  unclear: number;
  /** Latencies of answers, microseconds. */
  latency: Histogram;
}

/** One request of the load. */
export interface TrafficRequest {
  url: string;
  method: 'GET' | 'POST';
  /** Name of the operation in the ledger. */
  operation: string;
}

/** Refusals by operation, to compare with the ledger. */
export type NotRun = Set<string>;

/** Creates an empty record of a phase. */
export function createReceived(): Received {
  const latency = build({highestTrackableValue: 60_000_000});
  return {sent: 0, answered: 0, refused: 0, unclear: 0, latency};
}

/** Creates the connections of the customers. */
export function createAgent(): Agent {
  return new Agent({pipelining: 1, connections: 256});
}

/** Sends one request and notes what came of it. */
export async function sendOne(
  agent: Agent,
  {url, method, operation}: TrafficRequest,
  received: Received,
  notRun: NotRun,
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
    const us = Math.round((performance.now() - startedAt) * 1_000);
    if (res.statusCode === 200) {
      received.answered++;
      received.latency.recordValue(us);
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

/** Sends at a fixed rate, however slow the answers are. */
export async function sendAtRate(
  agent: Agent,
  perSecond: number,
  seconds: number,
  createRequest: () => TrafficRequest,
  received: Received,
  notRun: NotRun,
): Promise<void> {
  const startedAt = performance.now();
  const all: Promise<void>[] = [];
  const total = Math.round(perSecond * seconds);
  while (all.length < total) {
    const elapsedS = (performance.now() - startedAt) / 1_000;
    const due = Math.min(total, Math.ceil(elapsedS * perSecond));
    while (all.length < due) {
      all.push(sendOne(agent, createRequest(), received, notRun));
    }
    await new Promise(resolve => setTimeout(resolve, SEND_EVERY_MS));
  }
  await Promise.all(all);
}

/** Processor time that a process has used, s. */
export function readCpuS(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_S;
}

/** Value at a percentile, ms. */
export function readMs(latency: Histogram, percentile: number): number {
  if (latency.totalCount === 0) return 0;
  return round(latency.getValueAtPercentile(percentile) / 1_000);
}

/** Rounds to two decimals. */
export function round(value: number): number {
  return Math.round(value * 100) / 100;
}
