import {fork, type ChildProcess} from 'node:child_process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {documentSchema, type Document} from '../../src/internal.js';
import type {Fleet} from '../../standins/fleet.js';
import type {TrafficRequest} from './traffic.js';

// The fleet that the benchmark of the request path runs against, its calls, and
// the move of one of its data centres.

/** Data centre that leaves and returns. */
export const MOVED = 'dc-2';
const DATA_CENTRES = ['dc-0', 'dc-1', MOVED];
/** Service of the move: 6 upstreams, 12 slots, 40 ms: 1,800 calls/s. */
export const SHOP = {slots: 12, serviceMs: 40, upstreams: 6};
/** Service of the overload: 3 upstreams, 6 slots, 50 ms: 360 calls/s. */
export const SMALL = {slots: 6, serviceMs: 50, upstreams: 3};
/** Service of the latency: 1 upstream, 2 ms. */
export const SOLO = {slots: 12, serviceMs: 2, upstreams: 1};
/** Share of the bookings among the calls. */
const BOOKING_SHARE = 0.3;

/** Phases of the move, s. */
export const PHASES = [
  {name: 'before', seconds: 4},
  {name: 'leaving', seconds: 2},
  {name: 'out', seconds: 3},
  {name: 'returning', seconds: 3},
  {name: 'after', seconds: 4},
] as const;

/** Name of a phase. */
export type PhaseName = (typeof PHASES)[number]['name'];

/** What is measured: the daemons or the naive proxy. */
export interface Target {
  readonly name: 'current' | 'naive';
  readonly urls: readonly string[];
  readonly pids: readonly number[];
  /** Tells the target that the data centre is in or out. */
  move(state: 'in' | 'out'): void;
}

/** Document of the services that the benchmark calls. */
export function createDocument(): Document {
  const service = (slots: number, expectedMs: number) => ({
    slots,
    connections: 110,
    dataCentres: DATA_CENTRES,
    expectedMs,
  });
  const routes = (name: string) => ({
    [`${name}-read`]: {
      pathPrefix: `/${name}/read`,
      methods: ['GET'],
      service: name,
      idempotent: true,
    },
    [`${name}-book`]: {
      pathPrefix: `/${name}/book`,
      methods: ['POST'],
      service: name,
      priority: 'booking',
    },
  });
  return documentSchema.parse({
    dataCentres: Object.fromEntries(
      DATA_CENTRES.map(name => [name, {region: 'region-0'}]),
    ),
    services: {
      shop: service(SHOP.slots, SHOP.serviceMs),
      small: service(SMALL.slots, SMALL.serviceMs),
      solo: service(SOLO.slots, SOLO.serviceMs),
    },
    routes: {...routes('shop'), ...routes('small'), ...routes('solo')},
  });
}

/** Instances of a service, spread over the data centres. */
export function listInstances(service: string, count: number) {
  return Array.from({length: count}, (_, i) => ({
    id: `${service}-${i}`,
    service,
    dataCentre: DATA_CENTRES[i % DATA_CENTRES.length],
  }));
}

/** Starts a naive proxy for the upstreams of one service. */
export async function startNaive(
  fleet: Fleet,
  service: string,
): Promise<{child: ChildProcess; url: string}> {
  const path = new URL('naive_process.js', import.meta.url);
  const urls = fleet.instances
    .filter(instance => instance.service === service)
    .map(({upstream}) => upstream.url());
  const child = fork(fileURLToPath(path), urls);
  const port = await new Promise(resolve => child.once('message', resolve));
  return {child, url: `http://127.0.0.1:${String(port)}`};
}

let operations = 0;

/** Creates the source of a service's calls, each with its own operation. */
export function createTraffic(
  target: Target,
  service: 'shop' | 'small',
): () => TrafficRequest {
  const {serviceMs} = service === 'shop' ? SHOP : SMALL;
  return () => {
    const operation = nameOperation(target.name);
    const booking = (operations * 0.618) % 1 < BOOKING_SHARE;
    const base = target.urls[operations % target.urls.length];
    const kind = booking ? 'book' : 'read';
    const query = `op=${operation}&serviceMs=${serviceMs}`;
    return {
      url: `${base}/${service}/${kind}?${query}`,
      method: booking ? 'POST' : 'GET',
      operation,
    };
  };
}

/** Moves the upstreams of one data centre away and back, as replaced ones. */
export async function moveDataCentre(
  fleet: Fleet,
  target: Target,
): Promise<void> {
  const moved = fleet.instances.filter(i => i.dataCentre === MOVED);
  const [before, leaving, out] = PHASES.map(phase => phase.seconds * 1_000);
  await delay(before);
  target.move('out');
  await delay(leaving / 2);
  for (const {upstream} of moved) upstream.drain();
  await delay(leaving / 2);
  for (const {upstream} of moved) await upstream.crash();
  await delay(out / 2);
  for (const {upstream} of moved) {
    upstream.drain(false);
    await upstream.restart();
  }
  await delay(out / 2);
  target.move('in');
}

/** Name of one more operation, unique within the process. */
export function nameOperation(prefix: string): string {
  return `${prefix}-${++operations}`;
}
