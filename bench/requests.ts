import {fork, type ChildProcess} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {parseArgs} from 'node:util';
import {documentSchema, type Document} from '../src/internal.js';
import {startFleet, type Fleet} from '../standins/fleet.js';
import {appendHistory} from './support/history.js';
import {
  createAgent,
  createReceived,
  readCpuS,
  readMs,
  round,
  sendAtRate,
  sendOne,
  type NotRunOperations,
  type Received,
  type TrafficRequest,
} from './support/traffic.js';

// Measures the request path of daemon processes and of the tests' naive proxy:
// service while a data centre is taken out and brought back, added latency,
// goodput under overload, CPU time per call.
// npm run bench:requests -- --rate 800 --pairs 1500 --out requests.json

const READY_TIMEOUT_MS = 60_000;
/** Shares of the rate at which cold upstreams are warmed up. */
const WARM_UP_SHARES = [0.1, 0.25, 0.5, 1];
const WARM_UP_STEP_S = 3;
/** The full rate follows until this share is answered or the windows end. */
const WARM_ANSWERED_SHARE = 0.99;
const WARM_WINDOW_S = 2;
const WARM_WINDOWS = 8;
const IDLE_S = 4;
const MOVED_DATA_CENTRE = 'dc-2';
const DATA_CENTRES = ['dc-0', 'dc-1', MOVED_DATA_CENTRE];
/** Service of the data centre move; its capacity is 1,800 calls/s. */
const SHOP = {slots: 12, serviceMs: 40, upstreams: 6};
/** Service of the overload test; its capacity is 360 calls/s. */
const SMALL = {slots: 6, serviceMs: 50, upstreams: 3};
/** Service of the latency test. */
const SOLO = {slots: 12, serviceMs: 2, upstreams: 1};
/** Calls before latency is measured, so that the code is compiled. */
const WARM_UP_CALLS = 1_500;
const SMALL_CAPACITY =
  (SMALL.upstreams * SMALL.slots * 1_000) / SMALL.serviceMs;
const OVERLOADS = [0.5, 1, 2, 4];
const OVERLOAD_S = 5;
const BOOKING_SHARE = 0.3;

/** Phases of the data centre move with their durations, s. */
const PHASES = [
  {name: 'before', seconds: 4},
  {name: 'leaving', seconds: 2},
  {name: 'out', seconds: 3},
  {name: 'returning', seconds: 3},
  {name: 'after', seconds: 4},
] as const;

type PhaseName = (typeof PHASES)[number]['name'];

interface Target {
  readonly name: 'current' | 'naive';
  readonly urls: readonly string[];
  readonly pids: readonly number[];
  /** Takes the moved data centre out or in, as far as the target can. */
  setDataCentreState(state: 'in' | 'out'): void;
}

function createDocument(): Document {
  const createService = (slots: number, expectedMs: number) => ({
    slots,
    connections: 110,
    dataCentres: DATA_CENTRES,
    expectedMs,
  });
  const createRoutes = (name: string) => ({
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
      shop: createService(SHOP.slots, SHOP.serviceMs),
      small: createService(SMALL.slots, SMALL.serviceMs),
      solo: createService(SOLO.slots, SOLO.serviceMs),
    },
    routes: {
      ...createRoutes('shop'),
      ...createRoutes('small'),
      ...createRoutes('solo'),
    },
  });
}

function createInstances(service: string, count: number) {
  return Array.from({length: count}, (_, i) => ({
    id: `${service}-${i}`,
    service,
    dataCentre: DATA_CENTRES[i % DATA_CENTRES.length],
  }));
}

/** Starts a naive proxy for the upstreams of one service. */
async function startNaive(
  fleet: Fleet,
  service: string,
): Promise<{child: ChildProcess; url: string}> {
  const path = new URL('support/naive_process.js', import.meta.url);
  const urls = fleet.instances
    .filter(instance => instance.service === service)
    .map(({upstream}) => upstream.url());
  const child = fork(fileURLToPath(path), urls);
  const port = await new Promise(resolve => child.once('message', resolve));
  return {child, url: `http://127.0.0.1:${String(port)}`};
}

let operations = 0;

function createTraffic(
  target: Target,
  service: 'shop' | 'small',
): () => TrafficRequest {
  const {serviceMs} = service === 'shop' ? SHOP : SMALL;
  return () => {
    const operation = `${target.name}-${++operations}`;
    const isBooking = (operations * 0.618) % 1 < BOOKING_SHARE;
    const base = target.urls[operations % target.urls.length];
    const operationKind = isBooking ? 'book' : 'read';
    const query = `op=${operation}&serviceMs=${serviceMs}`;
    return {
      url: `${base}/${service}/${operationKind}?${query}`,
      method: isBooking ? 'POST' : 'GET',
      operation,
    };
  };
}

/** Takes one data centre out, restarts its upstreams and brings it back. */
async function moveDataCentre(fleet: Fleet, target: Target): Promise<void> {
  const moved = fleet.instances.filter(i => i.dataCentre === MOVED_DATA_CENTRE);
  const [before, leaving, out] = PHASES.map(phase => phase.seconds * 1_000);
  await delay(before);
  target.setDataCentreState('out');
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
  target.setDataCentreState('in');
}

interface WarmUp {
  target: string;
  service: string;
  seconds: number;
  /** Answered share of the requests in the last window. */
  share: number;
}

/** Makes the upstreams cold, then raises the load until they answer it. */
async function warmUpService(
  fleet: Fleet,
  target: Target,
  service: 'shop' | 'small',
  rate: number,
): Promise<WarmUp> {
  for (const instance of fleet.instances) {
    if (instance.service === service) instance.upstream.makeCold();
  }
  const agent = createAgent();
  const next = createTraffic(target, service);
  const startedAt = performance.now();
  const send = async (perSecond: number, seconds: number) => {
    const received = createReceived();
    await sendAtRate(agent, perSecond, seconds, next, received, new Set());
    return received.answered / received.sent;
  };
  for (const part of WARM_UP_SHARES) await send(rate * part, WARM_UP_STEP_S);
  let share = 0;
  for (let i = 0; i < WARM_WINDOWS && share < WARM_ANSWERED_SHARE; i++) {
    share = await send(rate, WARM_WINDOW_S);
  }
  await agent.close();
  const seconds = round((performance.now() - startedAt) / 1_000);
  return {target: target.name, service, seconds, share: round(share)};
}

interface MoveRow {
  target: string;
  phase: PhaseName;
  answeredPerS: number;
  refusedPerS: number;
  unclearPerS: number;
  p50Ms: number;
  p99Ms: number;
}

async function measureMove(
  fleet: Fleet,
  target: Target,
  rate: number,
): Promise<{
  rows: MoveRow[];
  warmUp: WarmUp;
  bookedTwice: number;
  falseNotRun: number;
}> {
  const agent = createAgent();
  const notRun: NotRunOperations = new Set();
  const next = createTraffic(target, 'shop');
  const warmUp = await warmUpService(fleet, target, 'shop', rate);
  const move = moveDataCentre(fleet, target);
  const phases = PHASES.map(phase => ({...phase, received: createReceived()}));
  const sending: Promise<void>[] = [];
  for (const {seconds, received} of phases) {
    // Each phase counts the requests sent in it; answers may arrive later.
    sending.push(sendAtRate(agent, rate, seconds, next, received, notRun));
    await delay(seconds * 1_000);
  }
  await Promise.all([...sending, move]);
  await agent.close();
  const rows = phases.map(({name, seconds, received}) => ({
    target: target.name,
    phase: name,
    ...summarise(received, seconds),
  }));
  return {rows, warmUp, ...auditLedger(fleet, target, notRun)};
}

function summarise(received: Received, seconds: number) {
  const {answered, refused, unclear, latency} = received;
  return {
    answeredPerS: round(answered / seconds),
    refusedPerS: round(refused / seconds),
    unclearPerS: round(unclear / seconds),
    p50Ms: readMs(latency, 50),
    p99Ms: readMs(latency, 99),
  };
}

/** Compares the verdicts that customers received with the ledger's runs. */
function auditLedger(fleet: Fleet, target: Target, notRun: NotRunOperations) {
  const runs = fleet.ledger.runs.filter(({operation}) =>
    operation.startsWith(`${target.name}-`),
  );
  const booked = new Map<string, number>();
  for (const {operation, method} of runs) {
    if (method !== 'POST') continue;
    booked.set(operation, (booked.get(operation) ?? 0) + 1);
  }
  return {
    bookedTwice: [...booked.values()].filter(times => times > 1).length,
    falseNotRun: new Set(
      runs.map(run => run.operation).filter(name => notRun.has(name)),
    ).size,
  };
}

/** Alternates direct calls with calls through an entry and an owner. */
async function measureLatency(fleet: Fleet, pairs: number) {
  const agent = createAgent();
  const notRun: NotRunOperations = new Set();
  const solo = fleet.get('solo-0').upstream.url();
  const entry = fleet.get('shop-0').daemon.customerUrl;
  const direct = createReceived();
  const through = createReceived();
  const path = `/solo/read?serviceMs=${SOLO.serviceMs}&op=`;
  const call = (base: string, received: Received) => {
    const operation = `latency-${++operations}`;
    const url = `${base}${path}${operation}`;
    return sendOne(agent, {url, method: 'GET', operation}, received, notRun);
  };
  for (let i = 0; i < WARM_UP_CALLS; i++) await call(entry, createReceived());
  for (let i = 0; i < pairs; i++) {
    await call(solo, direct);
    await call(entry, through);
  }
  await agent.close();
  const ms = (received: Received, p: number) => readMs(received.latency, p);
  return {
    pairs,
    directP50Ms: ms(direct, 50),
    directP99Ms: ms(direct, 99),
    throughP50Ms: ms(through, 50),
    throughP99Ms: ms(through, 99),
    addedP50Ms: round(ms(through, 50) - ms(direct, 50)),
    addedP99Ms: round(ms(through, 99) - ms(direct, 99)),
    failed: pairs * 2 - direct.answered - through.answered,
  };
}

async function measureGoodput(fleet: Fleet, target: Target) {
  const agent = createAgent();
  const next = createTraffic(target, 'small');
  const warmUpRate = SMALL_CAPACITY / 2;
  const warmUp = await warmUpService(fleet, target, 'small', warmUpRate);
  const rows = [];
  for (const factor of OVERLOADS) {
    const received = createReceived();
    const rate = SMALL_CAPACITY * factor;
    await sendAtRate(agent, rate, OVERLOAD_S, next, received, new Set());
    const {answeredPerS, ...rest} = summarise(received, OVERLOAD_S);
    const share = round(answeredPerS / SMALL_CAPACITY);
    rows.push({target: target.name, factor, answeredPerS, share, ...rest});
    await delay(1_000);
  }
  await agent.close();
  return {rows, warmUp};
}

/** Measures the CPU time per call of all processes of a target, ms. */
async function measureCpu(target: Target, rate: number) {
  const readTotalCpuS = () =>
    target.pids.reduce((sum, pid) => sum + readCpuS(pid), 0);
  const idleCpuBefore = readTotalCpuS();
  await delay(IDLE_S * 1_000);
  const idlePerS = (readTotalCpuS() - idleCpuBefore) / IDLE_S;
  const agent = createAgent();
  const received = createReceived();
  const next = createTraffic(target, 'shop');
  const cpuBefore = readTotalCpuS();
  const startedAt = performance.now();
  await sendAtRate(agent, rate, IDLE_S, next, received, new Set());
  const seconds = (performance.now() - startedAt) / 1_000;
  const cpuS = readTotalCpuS() - cpuBefore - idlePerS * seconds;
  await agent.close();
  return {
    target: target.name,
    calls: received.sent,
    cpuMsPerCall: round((cpuS * 1_000) / received.sent),
    idleCpuPercentPerProcess: round((idlePerS * 100) / target.pids.length),
  };
}

async function main(): Promise<void> {
  const {values} = parseArgs({
    options: {
      rate: {type: 'string', default: '800'},
      pairs: {type: 'string', default: '1500'},
      out: {type: 'string'},
    },
  });
  const rate = Number(values.rate);
  const fleet = await startFleet({
    document: createDocument(),
    instances: [
      ...createInstances('shop', SHOP.upstreams),
      ...createInstances('small', SMALL.upstreams),
      ...createInstances('solo', SOLO.upstreams),
    ],
    upstream: {restartMs: 1_000},
  });
  const children: ChildProcess[] = [];
  try {
    await fleet.waitReady(READY_TIMEOUT_MS);
    const shop = await startNaive(fleet, 'shop');
    const small = await startNaive(fleet, 'small');
    children.push(shop.child, small.child);
    const current: Target = {
      name: 'current',
      urls: fleet.instances.map(({daemon}) => daemon.customerUrl),
      pids: fleet.instances.map(({daemon}) => daemon.pid),
      setDataCentreState: state =>
        void fleet.publishPatch(`${MOVED_DATA_CENTRE} ${state}`, document => {
          document.dataCentres[MOVED_DATA_CENTRE].state = state;
        }),
    };
    const createNaiveTarget = (child: ChildProcess, url: string): Target => ({
      name: 'naive',
      urls: [url],
      pids: [child.pid ?? 0],
      setDataCentreState: () => {},
    });
    const naiveShop = createNaiveTarget(shop.child, shop.url);
    const naiveSmall = createNaiveTarget(small.child, small.url);

    const moves = [];
    for (const target of [current, naiveShop]) {
      moves.push(await measureMove(fleet, target, rate));
    }
    const moved = moves.flatMap(({rows}) => rows);
    const audits = moves.map(({rows, bookedTwice, falseNotRun}) => ({
      target: rows[0].target,
      bookedTwice,
      falseNotRun,
    }));
    const cpu = [
      await measureCpu(current, rate / 2),
      await measureCpu(naiveShop, rate / 2),
    ];
    const overloads = [];
    for (const target of [current, naiveSmall]) {
      overloads.push(await measureGoodput(fleet, target));
    }
    const goodput = overloads.flatMap(({rows}) => rows);
    const warmUps = [...moves, ...overloads].map(({warmUp}) => warmUp);
    const latency = await measureLatency(fleet, Number(values.pairs));
    const figures = {rate, warmUps, moved, audits, cpu, goodput, latency};
    console.table(warmUps);
    console.table(moved);
    console.table(audits);
    console.table(cpu);
    console.table(goodput);
    console.table([latency]);
    if (values.out) writeFileSync(values.out, JSON.stringify(figures, null, 2));
    else console.log(JSON.stringify(figures));
    appendHistory('requests', figures);
  } finally {
    for (const child of children) child.disconnect();
    await fleet.stop();
  }
}

await main();
