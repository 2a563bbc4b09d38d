// A daemon stands still for 1.8 s while clients send bookings on connections
// that they opened shortly before.
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

/** Clients that book at the daemon which stands still. */
const CLIENTS = 8;

/** Statuses that promise that a request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503]);

const isBookingMachine = ({service}) => service === BOOKING_ROUTE.service;

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
  // A machine beside a backend of the booking service.
  const node = fleet.nodes[MACHINES.findIndex(isBookingMachine)];
  const clients = [];
  for (let i = 0; i < CLIENTS; i++) {
    clients.push(await openClient(node.host, node.outbound));
  }
  record.write('clients', `${CLIENTS} connections open`);
  await delay(1_600);
  if (TROUBLE) node.signal('SIGSTOP');
  await delay(100);
  const answers = clients.map(async ({send}, i) => {
    const id = randomBytes(8).toString('hex');
    record.write(`client ${i}`, `sends POST /book/${i} as ${id}`);
    const headers = {
      Host: HOST,
      'X-Request-Id': id,
      'X-Deadline-Ms': BOOKING_BUDGET_MS,
    };
    const first = `POST /book/${i} HTTP/1.1`;
    const answer = await send(first, headers, `lot ${i}`, BOOKING_BUDGET_MS);
    record.write(`client ${i}`, `gets ${answer.status} for ${id}`);
    return {id, ...answer};
  });
  await delay(1_700);
  if (TROUBLE) node.signal('SIGCONT');
  const results = await Promise.all(answers);
  await delay(2_000);
  clients.forEach(({close}) => close());
  const served = results.filter(({status}) => status === 200).length;
  record.write('check', `${served} of ${results.length} answered 200`);
  if (!TROUBLE && served < results.length) {
    throw new Error('bookings failed without the disruption');
  }
  return results.flatMap(({id, status}) => {
    const times = fleet.runs.filter(({requestId}) => requestId === id).length;
    if (!PROMISES.has(status) || times === 0) return [];
    return [`REFUSED: booking ${id} was answered ${status} and has run`];
  });
});
