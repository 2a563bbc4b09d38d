// The store cuts a watch that waits, and shortly after a backend leaves: its
// entry is removed, it serves for a while longer, and exits.
import {randomBytes} from 'node:crypto';
import {dirname, join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {TROUBLE, runCase} from '../lib/case.mjs';
import {openClient} from '../lib/client.mjs';
import {startFleet} from '../lib/fleet.mjs';
import {
  BOOKING_BUDGET_MS,
  BOOKING_ROUTE,
  HOST,
  MACHINES,
  SERVICES,
} from '../lib/plans.mjs';

const DIR = dirname(fileURLToPath(import.meta.url));

/** Bound `drain` of the settings, ms. */
const DRAIN_MS = 2_000;

/** Time from the cut of the watches to the removal of the entry, ms. */
const REMOVED_AFTER_MS = 100;

/** Interval between requests at each machine, ms. */
const INTERVAL_MS = 40;

/** Time for which clients send requests after the removal, ms. */
const WATCHED_MS = 4_000;

/** Time from the removal to the exit of the backend, ms: `drain` and a little
 * longer. */
const EXITS_AFTER_MS = DRAIN_MS + 400;

await runCase(join(DIR, 'record.txt'), async (record, onClose) => {
  // All backends are of one service, as any of them may be beside the reader.
  const machines = MACHINES.map(({zone}) => {
    return {zone, service: BOOKING_ROUTE.service};
  });
  const plan = {machines, services: SERVICES, routes: [BOOKING_ROUTE]};
  const fleet = await startFleet(plan, record);
  onClose(fleet.close);
  await fleet.waitReady(30_000);
  await delay(4_000);
  const [reader] = fleet.nodes
    .filter(({readsStoreSince}) => readsStoreSince !== undefined)
    .sort((a, b) => a.readsStoreSince - b.readsStoreSince);
  if (!reader) throw new Error('no daemon reads the store');
  record.write('script', `reads the store for the others: ${reader.name}`);
  const backend = fleet.backends[fleet.nodes.indexOf(reader)];
  let open = true;
  const sentAt = new Map();
  const statuses = new Map();
  const book = async (node, i) => {
    const id = randomBytes(8).toString('hex');
    const client = await openClient(node.host, node.outbound);
    const headers = {
      Host: HOST,
      'X-Request-Id': id,
      'X-Deadline-Ms': BOOKING_BUDGET_MS,
    };
    sentAt.set(id, performance.now());
    record.write(node.name, `client sends POST /book/${i} as ${id}`);
    const first = `POST /book/${i} HTTP/1.1`;
    const {status} = await client.send(
      first,
      headers,
      `lot ${i}`,
      BOOKING_BUDGET_MS,
    );
    statuses.set(id, status);
    record.write(node.name, `client gets ${status} for ${id}`);
    client.close();
  };
  const load = async node => {
    const sent = [];
    for (let i = 0; open; i++) {
      sent.push(book(node, i));
      await delay(INTERVAL_MS);
    }
    await Promise.all(sent);
  };
  const loads = fleet.nodes.map(load);
  await delay(1_000);
  for (let cut = 0; TROUBLE && cut === 0; await delay(1)) {
    cut = fleet.store.cutWatches();
    if (cut > 0) record.write('store', `cuts ${cut} waiting watches`);
  }
  await delay(REMOVED_AFTER_MS);
  fleet.unlist(backend);
  const removedAt = performance.now();
  await delay(EXITS_AFTER_MS);
  record.write(backend.id, 'exits');
  backend.close();
  await delay(WATCHED_MS - EXITS_AFTER_MS);
  open = false;
  await Promise.all(loads);
  const late = fleet.runs.filter(
    run => run.backend === backend.id && run.at - removedAt > DRAIN_MS,
  );
  const last = fleet.runs.findLast(run => run.backend === backend.id);
  record.write(
    'check',
    `last run at ${backend.id} ${Math.round(last.at - removedAt)} ms after`,
  );
  return late.map(({requestId, at}) => {
    const ms = Math.round(at - removedAt);
    const sentMs = Math.round(sentAt.get(requestId) - removedAt);
    return (
      `DRAIN: ${requestId}, sent ${sentMs} ms after the removal, ` +
      `reaches ${backend.id} after ${ms} ms; its client gets ` +
      statuses.get(requestId)
    );
  });
});
