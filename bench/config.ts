import {mkdirSync, writeFileSync} from 'node:fs';
import {serialize} from 'node:v8';
import {parseArgs} from 'node:util';
import {createDocument} from '../__tests__/support/documents.js';
import {Network, type Node} from '../__tests__/support/network.js';
import {decodeFrame, encodeFrame} from '../src/daemon/frames.js';
import {parseMessage, type PeerMessage} from '../src/internal.js';
import {appendHistory} from './support/history.js';
import {runNaive, type NaiveFigures} from './support/naive.js';

// Simulates the control mesh in one process, on fake time, over in-memory links
// with realistic delays. Measures convergence, bytes, source calls, CPU and
// state, also for a naive version. npm run bench:config -- --sizes 10,40

const SERVICES = 76;
const ROUTES = 150;
const DATA_CENTRES = 8;
const SAME_REGION_MS = 0.5;
const OTHER_REGION_MS = 20;
const SETTLE_MS = 60_000;
const IDLE_MS = 60_000;
const CHANGE_EVERY_MS = 5_000;
const RESTART_EVERY_MS = 15_000;
const RESTARTS = 10;
const DAY_S = 86_400;

/** Target load: changes per day, and restarts per day at 650 daemons. */
const CHANGES_PER_DAY = 710;
const RESTARTS_PER_DAY = 183;
const TARGET_DAEMONS = 650;

/** One in this many messages is timed through encoding and parsing. */
const CODEC_SAMPLE_INTERVAL = 20;

/** Totals of one phase over all daemons. */
interface Meter {
  bytes: number;
  messages: number;
  bytesByDaemon: Map<string, number>;
  handlerMs: Map<string, {calls: number; ms: number}>;
  codec: {samples: number; ms: number};
}

interface Phase {
  seconds: number;
  meter: Meter;
  sourceCalls: number;
  listBytes: number;
}

function createMeter(): Meter {
  return {
    bytes: 0,
    messages: 0,
    bytesByDaemon: new Map(),
    handlerMs: new Map(),
    codec: {samples: 0, ms: 0},
  };
}

let meter = createMeter();
const sizes = new WeakMap<PeerMessage, number>();

function recordSend(from: Node, to: string, msg: PeerMessage): void {
  let size = sizes.get(msg);
  if (size === undefined) {
    size = encodeFrame(msg).length;
    sizes.set(msg, size);
  }
  meter.bytes += size;
  if (meter.messages++ % CODEC_SAMPLE_INTERVAL === 0) timeCodec(msg);
  const {bytesByDaemon} = meter;
  // Counts each message for its sender and its receiver.
  for (const id of [from.id, to]) {
    bytesByDaemon.set(id, (bytesByDaemon.get(id) ?? 0) + size);
  }
}

function timeCodec(msg: PeerMessage): void {
  const startedAt = performance.now();
  parseMessage(decodeFrame(encodeFrame(msg)));
  meter.codec.ms += performance.now() - startedAt;
  meter.codec.samples++;
}

function measureCall<T>(kind: string, call: () => T): T {
  const startedAt = performance.now();
  const result = call();
  const ms = performance.now() - startedAt;
  const sum = meter.handlerMs.get(kind) ?? {calls: 0, ms: 0};
  sum.calls++;
  sum.ms += ms;
  meter.handlerMs.set(kind, sum);
  return result;
}

function runPhase(net: Network, run: () => void): Phase {
  meter = createMeter();
  const before = {at: net.now, ...net.calls};
  run();
  return {
    seconds: (net.now - before.at) / 1_000,
    meter,
    sourceCalls: net.calls.source - before.source,
    listBytes: (net.calls.listRecords - before.listRecords) * LIST_RECORD_BYTES,
  };
}

/** JSON size of one record of the instance list, bytes. */
const LIST_RECORD_BYTES = 190;

function percentile(values: number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, index)];
}

function summarise(values: number[]) {
  return {
    p50: round(percentile(values, 0.5)),
    p99: round(percentile(values, 0.99)),
    max: round(Math.max(...values)),
  };
}

function round(value: number, digits = 1): number {
  return Math.round(value * 10 ** digits) / 10 ** digits;
}

function distributeDaemons(daemons: number): Record<string, number> {
  const result: Record<string, number> = {};
  for (let i = 0; i < DATA_CENTRES; i++) {
    const extra = i < daemons % DATA_CENTRES ? 1 : 0;
    result[`dc${i}`] = Math.floor(daemons / DATA_CENTRES) + extra;
  }
  return result;
}

function regionOf(dataCentre: string): string {
  return Number(dataCentre.slice(2)) < DATA_CENTRES / 2 ? 'r1' : 'r2';
}

/** CPU of one daemon (handlers, ticks, codec), ms per s of fake time. */
function computeCpu(phase: Phase, daemons: number): number {
  let ms = 0;
  for (const sum of phase.meter.handlerMs.values()) ms += sum.ms;
  const {codec, messages} = phase.meter;
  ms += (codec.ms / Math.max(1, codec.samples)) * messages;
  return ms / daemons / phase.seconds;
}

function computeBytesPerDaemon(phase: Phase, daemons: number): number {
  return phase.meter.bytes / daemons;
}

function measureState(node: Node): Record<string, number> {
  const {config, members, timeline, relay, links, counters} = node.board;
  const {events} = timeline;
  const slices = {config, members, timeline: events, relay, links, counters};
  const result: Record<string, number> = {};
  for (const [name, slice] of Object.entries(slices)) {
    result[name] = serialize(slice).length;
  }
  return result;
}

function measureSize(daemons: number, changes: number) {
  const dataCentres = distributeDaemons(daemons);
  const names = Object.keys(dataCentres);
  const document = createDocument(names, SERVICES, ROUTES);
  for (const name of names) {
    document.dataCentres[name].region = regionOf(name);
  }
  const latencies: number[] = [];
  let publishedAt = 0;
  const net = new Network({
    seed: 1,
    dataCentres,
    document,
    regionOf,
    listLagMs: 2_000,
    delayMs: (from, to) =>
      regionOf(from.dataCentre) === regionOf(to.dataCentre)
        ? SAME_REGION_MS
        : OTHER_REGION_MS,
    onSend: recordSend,
    onVersion: (_, version, at) => {
      if (version > 1) latencies.push(at - publishedAt);
    },
    measure: measureCall,
  });
  try {
    return runPhases(net, daemons, changes, document, latencies, at => {
      publishedAt = at;
    });
  } finally {
    net.stop();
  }
}

function runPhases(
  net: Network,
  daemons: number,
  changes: number,
  document: ReturnType<typeof createDocument>,
  latencies: number[],
  recordPublished: (at: number) => void,
) {
  const wallStartedAt = performance.now();
  let startMs = -1;
  const start = runPhase(net, () => {
    startMs = net.runUntil(() => net.isConverged(), SETTLE_MS) ?? -1;
    net.run(SETTLE_MS - (net.now % SETTLE_MS));
  });
  const idle = runPhase(net, () => net.run(IDLE_MS));
  const convergence: number[] = [];
  const change = runPhase(net, () => {
    for (let i = 0; i < changes; i++) {
      net.run(net.random() * 1_000);
      recordPublished(net.now);
      const before = latencies.length;
      net.publishTimeout(`r${i % ROUTES}`, 1_000 + i);
      net.run(CHANGE_EVERY_MS);
      const added = latencies.slice(before);
      const isComplete = added.length === daemons && net.isConverged();
      convergence.push(isComplete ? Math.max(...added) : Infinity);
    }
  });
  const latency = summarise(latencies);
  const churn = runPhase(net, () => {
    for (let i = 0; i < RESTARTS; i++) {
      const nodes = net.getLiveNodes();
      const node = nodes[Math.floor(net.random() * nodes.length)];
      net.kill(node.id);
      net.after(2_000, () => net.start(node.id));
      net.run(RESTART_EVERY_MS);
    }
  });
  const computeBytesPerSecond = (phase: Phase): number =>
    computeBytesPerDaemon(phase, daemons) / phase.seconds;
  const idleRate = computeBytesPerSecond(idle);
  const bytesPerChange =
    ((computeBytesPerSecond(change) - idleRate) * change.seconds) / changes;
  const bytesPerRestart =
    ((computeBytesPerSecond(churn) - idleRate) * churn.seconds) / RESTARTS;
  const restartsPerDay = (RESTARTS_PER_DAY * daemons) / TARGET_DAEMONS;
  const bytesAtTarget =
    idleRate +
    (bytesPerChange * CHANGES_PER_DAY) / DAY_S +
    (bytesPerRestart * restartsPerDay) / DAY_S;
  const idleBytesByDaemon = [...idle.meter.bytesByDaemon.values()];
  const links = net.getLiveNodes().map(({board}) => board.links.size);
  const state = measureState(net.getLiveNodes()[daemons >> 1]);
  const documentBytes = JSON.stringify(document).length;
  const naive = runNaive({
    daemons,
    document,
    listBytes: daemons * LIST_RECORD_BYTES,
    changes,
    changeIntervalMs: CHANGE_EVERY_MS,
  });
  const handlers: Record<string, number> = {};
  for (const [kind, {calls, ms}] of change.meter.handlerMs) {
    handlers[kind] = round((ms / calls) * 1_000);
  }
  return {
    daemons,
    changes,
    startMs,
    startBytesPerDaemon: Math.round(computeBytesPerDaemon(start, daemons)),
    convergence: summarise(convergence),
    latency,
    idleBytesPerS: round(idleRate),
    idleBothWaysMaxPerS: round(Math.max(...idleBytesByDaemon) / idle.seconds),
    bytesPerChange: round(bytesPerChange),
    bytesPerRestart: round(bytesPerRestart),
    bytesPerSAtTarget: round(bytesAtTarget),
    listBytesPerS: round(idle.listBytes / daemons / idle.seconds),
    messagesPerS: round(idle.meter.messages / daemons / idle.seconds, 2),
    sourceCallsPerS: round(idle.sourceCalls / idle.seconds, 2),
    sourceCallsPerSChanging: round(change.sourceCalls / change.seconds, 2),
    cpuPercentIdle: round(computeCpu(idle, daemons) / 10, 3),
    cpuPercentChanging: round(computeCpu(change, daemons) / 10, 3),
    codecUs: round((change.meter.codec.ms / change.meter.codec.samples) * 1e3),
    handlerUs: handlers,
    linksMean: round(links.reduce((a, b) => a + b, 0) / links.length),
    linksMax: Math.max(...links),
    stateBytes: state,
    stateBytesTotal: Object.values(state).reduce((a, b) => a + b, 0),
    naive: summariseNaive(naive, documentBytes),
    wallS: round((performance.now() - wallStartedAt) / 1_000),
  };
}

function summariseNaive(naive: NaiveFigures, documentBytes: number) {
  const documentBytesPerS = (documentBytes * CHANGES_PER_DAY) / DAY_S;
  return {
    documentBytes,
    convergence: summarise(naive.convergenceMs),
    sourceCallsPerS: round(naive.sourceCallsPerS),
    peakSourceCallsPerS: naive.peakSourceCallsPerS,
    bytesPerSAtTarget: round(documentBytesPerS + naive.listBytesPerS),
    cpuMsPerChange: round(naive.cpuMsPerChange, 2),
  };
}

function main(): void {
  const {values} = parseArgs({
    options: {
      sizes: {type: 'string', default: '10,40,160,650'},
      changes: {type: 'string', default: '40'},
    },
  });
  const rows = values.sizes.split(',').map(size => {
    const row = measureSize(Number(size), Number(values.changes));
    console.log(JSON.stringify(row));
    return row;
  });
  console.table(
    rows.map(row => ({
      daemons: row.daemons,
      'all p50/p99/max ms': Object.values(row.convergence).join(' / '),
      'naive ms': Object.values(row.naive.convergence).join(' / '),
      'idle B/s': row.idleBytesPerS,
      'target B/s': row.bytesPerSAtTarget,
      'list B/s': row.listBytesPerS,
      'naive B/s': row.naive.bytesPerSAtTarget,
      'source calls/s': row.sourceCallsPerS,
      'naive calls/s': row.naive.sourceCallsPerS,
      'idle cpu %': row.cpuPercentIdle,
      'state KB': round(row.stateBytesTotal / 1_000),
      links: `${row.linksMean} (max ${row.linksMax})`,
    })),
  );
  mkdirSync('tmp', {recursive: true});
  writeFileSync('tmp/bench-config.json', JSON.stringify(rows, null, 2));
  appendHistory('config', rows);
}

main();
