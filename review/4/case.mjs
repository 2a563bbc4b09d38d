// Another writer leaves entries among those of the backends: of a service that
// is not named in the configuration, with addresses that can't be read.
import {dirname, join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {TROUBLE, runCase} from '../lib/case.mjs';
import {startFleet} from '../lib/fleet.mjs';
import {BOOKING_ROUTE, MACHINES, SERVICES, ZONES} from '../lib/plans.mjs';

const DIR = dirname(fileURLToPath(import.meta.url));

/** Entries of the other writer. */
const ENTRIES = 20;

/** Time for which the daemons are watched, ms. */
const WATCHED_MS = 20_000;

/** Ends of one process by itself that count as a fault. */
const MAX_ENDS = 3;

/** Entry `i`; its address is padded with zeros, and 008 is no number. */
function createOddEntry(i) {
  const last = String(8 + 10 * Math.floor(i / 2) + (i % 2)).padStart(3, '0');
  return {
    addr: `010.001.000.${last}:8301`,
    born: Date.now(),
    info: {
      service: 'exporter',
      version: 'v1',
      zone: ZONES[i % ZONES.length],
      slots: 6,
    },
    status: {state: 'ready', sequence: 1, cold_left: '0ms'},
  };
}

await runCase(join(DIR, 'record.txt'), async (record, onClose) => {
  const plan = {
    machines: MACHINES,
    services: SERVICES,
    routes: [BOOKING_ROUTE],
  };
  const fleet = await startFleet(plan, record);
  onClose(fleet.close);
  await fleet.waitReady(30_000);
  await delay(3_000);
  for (const node of fleet.nodes) node.restarts = true;
  for (let i = 0; TROUBLE && i < ENTRIES; i++) {
    const text = JSON.stringify(createOddEntry(i));
    fleet.store.put(`servers/odd-${i}`, text);
    record.write('other writer', `writes servers/odd-${i}: ${text}`);
  }
  await delay(WATCHED_MS);
  const ends = new Map();
  for (const {node} of fleet.ends) ends.set(node, (ends.get(node) ?? 0) + 1);
  const broken = [...ends].filter(([, count]) => count >= MAX_ENDS);
  // A tenth of the machines, two at least.
  if (broken.length < Math.max(2, MACHINES.length / 10)) return [];
  return broken.map(
    ([node, count]) => `Fault: ${node} ended by itself ${count} times`,
  );
});
