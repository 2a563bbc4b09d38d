// The store cuts the watches that wait, and the entry of a backend is removed
// shortly after.
import {randomBytes} from 'node:crypto';
import {dirname, join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {TROUBLE, runCase} from '../lib/case.mjs';
import {openClient} from '../lib/client.mjs';
import {startFleet} from '../lib/fleet.mjs';
import {HOST, MACHINES, SERVICES, VIEW_ROUTE} from '../lib/plans.mjs';

const DIR = dirname(fileURLToPath(import.meta.url));

/** Bound `drain` of the settings, ms. */
const DRAIN_MS = 2_000;

/** Time from the cut of the watches to the removal of the entry, ms. */
const REMOVED_AFTER_MS = 100;

/** Interval between requests at each machine, ms. */
const INTERVAL_MS = 40;

/** Time for which clients send requests after the removal, ms. */
const WATCHED_MS = 4_000;

const BUDGET_MS = 2_000;

await runCase(join(DIR, 'record.txt'), async (record, onClose) => {
  // All backends are of one service, as any of them may be beside the reader.
  const machines = MACHINES.map(({zone}) => {
    return {zone, service: VIEW_ROUTE.service};
  });
  const plan = {machines, services: SERVICES, routes: [VIEW_ROUTE]};
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
  const view = async (node, i) => {
    const id = randomBytes(8).toString('hex');
    const client = await openClient(node.host, node.outbound);
    const headers = {
      Host: HOST,
      'X-Request-Id': id,
      'X-Deadline-Ms': BUDGET_MS,
    };
    sentAt.set(id, performance.now());
    record.write(node.name, `client sends GET /view/${i} as ${id}`);
    const first = `GET /view/${i} HTTP/1.1`;
    const {status} = await client.send(first, headers, undefined, BUDGET_MS);
    record.write(node.name, `client gets ${status} for ${id}`);
    client.close();
  };
  const load = async node => {
    const sent = [];
    for (let i = 0; open; i++) {
      sent.push(view(node, i));
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
  await delay(WATCHED_MS);
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
      `reaches ${backend.id} after ${ms} ms`
    );
  });
});
