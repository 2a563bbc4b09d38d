import {readFileSync} from 'node:fs';
import {setTimeout as delay} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {documentSchema, type Document} from '../src/internal.js';
import {startFleet, type Fleet} from '../standins/fleet.js';
import {appendHistory} from './support/history.js';

// Measures daemon processes: memory, CPU and bytes on control links while idle
// and while the configuration changes, and the time until a change is in force
// at all daemons. npm run bench:processes -- --sizes 8,24,56 --seconds 20

const CLOCK_TICKS_PER_S = 100;
const PAGE_BYTES = 4_096;
const READY_TIMEOUT_MS = 60_000;
const CHANGES = 20;
const CHANGE_EVERY_MS = 1_000;
// Compilation takes about the first 30 s and is not part of the steady load.
const SETTLE_MS = 40_000;
const DATA_CENTRES = 4;
const SERVICES = 8;

interface Sample {
  rssBytes: number;
  cpuS: number;
  sentBytes: number;
  receivedBytes: number;
  messages: number;
}

interface Row {
  daemons: number;
  rssMbMean: number;
  rssMbMax: number;
  idleCpuPercentMean: number;
  idleCpuPercentMax: number;
  idleBytesPerSMean: number;
  idleBytesPerSMax: number;
  idleMessagesPerS: number;
  cpuMsPerChange: number;
  bytesPerChange: number;
  convergenceMsP50: number;
  convergenceMsMax: number;
  sourceCallsPerS: number;
  links: number;
}

function createDocument(services: number): Document {
  const names = Array.from({length: services}, (_, i) => `service-${i}`);
  const dataCentres = Array.from({length: DATA_CENTRES}, (_, i) => `dc-${i}`);
  return documentSchema.parse({
    dataCentres: Object.fromEntries(
      dataCentres.map((name, i) => [name, {region: `region-${i % 2}`}]),
    ),
    services: Object.fromEntries(
      names.map(name => [name, {slots: 12, connections: 110, dataCentres}]),
    ),
    routes: Object.fromEntries(
      names.map(name => [
        name,
        {pathPrefix: `/${name}`, methods: ['GET'], service: name},
      ]),
    ),
  });
}

async function measureDaemons(daemons: number, seconds: number): Promise<Row> {
  const document = createDocument(SERVICES);
  const fleet = await startFleet({
    document,
    instances: Array.from({length: daemons}, (_, i) => ({
      id: `u-${i}`,
      service: `service-${i % SERVICES}`,
      dataCentre: `dc-${i % DATA_CENTRES}`,
    })),
  });
  try {
    await fleet.waitReady(READY_TIMEOUT_MS);
    await delay(SETTLE_MS);
    return await measureFleet(fleet, daemons, seconds);
  } finally {
    await fleet.stop();
  }
}

async function measureFleet(
  fleet: Fleet,
  daemons: number,
  seconds: number,
): Promise<Row> {
  const callsBefore = fleet.config.counts.calls;
  const before = await sampleDaemons(fleet);
  await delay(seconds * 1_000);
  const idle = computeRates(await sampleDaemons(fleet), before, seconds);
  const calls = fleet.config.counts.calls - callsBefore;

  const beforeChanges = await sampleDaemons(fleet);
  const publishedAt = new Map<number, number>();
  for (let i = 0; i < CHANGES; i++) {
    const {version} = fleet.publishPatch('bench', document => {
      document.routes['service-0'].timeoutMs = 1_000 + i;
    });
    publishedAt.set(version, Date.now());
    await delay(CHANGE_EVERY_MS);
  }
  const afterChanges = await sampleDaemons(fleet);
  const changeS = (CHANGES * CHANGE_EVERY_MS) / 1_000;
  const changing = computeRates(afterChanges, beforeChanges, changeS);
  const convergenceTimes = await readConvergence(fleet, publishedAt);
  const links = await Promise.all(
    fleet.instances.map(async ({id}) => (await fleet.readStatus(id))?.links),
  );
  const idleBytes = idle.map(s => s.sentBytes + s.receivedBytes);
  const changingBytes = changing.map(s => s.sentBytes + s.receivedBytes);
  const idleCpu = idle.map(s => s.cpuS);
  return {
    daemons,
    rssMbMean: round(mean(afterChanges.map(s => s.rssBytes)) / 1e6),
    rssMbMax: round(Math.max(...afterChanges.map(s => s.rssBytes)) / 1e6),
    idleCpuPercentMean: round(mean(idleCpu) * 100),
    idleCpuPercentMax: round(Math.max(...idleCpu) * 100),
    idleBytesPerSMean: round(mean(idleBytes)),
    idleBytesPerSMax: round(Math.max(...idleBytes)),
    idleMessagesPerS: round(mean(idle.map(s => s.messages))),
    cpuMsPerChange: round(
      (mean(changing.map(s => s.cpuS)) - mean(idleCpu)) * CHANGE_EVERY_MS,
    ),
    bytesPerChange: round(
      ((mean(changingBytes) - mean(idleBytes)) * CHANGE_EVERY_MS) / 1_000,
    ),
    convergenceMsP50: round(percentile(convergenceTimes, 0.5)),
    convergenceMsMax: round(Math.max(...convergenceTimes)),
    sourceCallsPerS: round(calls / seconds),
    links: round(mean(links.map(list => list?.length ?? 0))),
  };
}

async function sampleDaemons(fleet: Fleet): Promise<Sample[]> {
  return Promise.all(
    fleet.instances.map(async ({daemon}) => {
      const answer = await daemon.readAdmin('/status');
      const {counters} = JSON.parse(answer?.text ?? '{}') as {
        counters: Record<string, number>;
      };
      const received = Object.entries(counters).filter(([name]) =>
        name.startsWith('received_'),
      );
      return {
        ...readProcess(daemon.pid),
        sentBytes: counters['link_bytes_sent'] ?? 0,
        receivedBytes: counters['link_bytes_received'] ?? 0,
        messages: received.reduce((sum, [, value]) => sum + value, 0),
      };
    }),
  );
}

function readProcess(pid: number): {rssBytes: number; cpuS: number} {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const pages = Number(
    readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1],
  );
  return {rssBytes: pages * PAGE_BYTES, cpuS: ticks / CLOCK_TICKS_PER_S};
}

/** Computes rates per second between two samples of all daemons. */
function computeRates(after: Sample[], before: Sample[], seconds: number) {
  return after.map((sample, i) => ({
    cpuS: (sample.cpuS - before[i].cpuS) / seconds,
    sentBytes: (sample.sentBytes - before[i].sentBytes) / seconds,
    receivedBytes: (sample.receivedBytes - before[i].receivedBytes) / seconds,
    messages: (sample.messages - before[i].messages) / seconds,
  }));
}

/** Reads the convergence time of each version at each daemon, ms. */
async function readConvergence(
  fleet: Fleet,
  publishedAt: Map<number, number>,
): Promise<number[]> {
  const times: number[] = [];
  for (const {daemon} of fleet.instances) {
    const answer = await daemon.readAdmin('/timeline');
    const {events} = JSON.parse(answer?.text ?? '{"events":[]}') as {
      events: {kind: string; wallMs: number; detail: {version?: number}}[];
    };
    for (const {kind, wallMs, detail} of events) {
      const at = publishedAt.get(detail.version ?? 0);
      if (kind !== 'versionInForce' || at === undefined) continue;
      times.push(wallMs - at);
    }
  }
  const expected = publishedAt.size * fleet.instances.length;
  if (times.length !== expected) {
    throw new Error(`${times.length} of ${expected} versions are in force`);
  }
  return times;
}

function mean(values: number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function percentile(values: number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(share * (sorted.length - 1))];
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

const {values} = parseArgs({
  options: {
    sizes: {type: 'string', default: '8,24,56'},
    seconds: {type: 'string', default: '20'},
  },
});
const rows: Row[] = [];
for (const size of values.sizes.split(',').map(Number)) {
  rows.push(await measureDaemons(size, Number(values.seconds)));
  console.table(rows);
}
console.log(JSON.stringify(rows, null, 2));
appendHistory('processes', rows);
