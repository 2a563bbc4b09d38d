// A backend breaks off an answer that has no length, with a reset.
import {randomBytes} from 'node:crypto';
import {dirname, join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {TROUBLE, runCase} from '../lib/case.mjs';
import {download} from '../lib/client.mjs';
import {startFleet} from '../lib/fleet.mjs';
import {formatMessage} from '../lib/http_bytes.mjs';
import {HOST, MACHINES} from '../lib/plans.mjs';

const DIR = dirname(fileURLToPath(import.meta.url));

/** Requests, sent in pairs, and the time between two pairs, ms: about 5 s. */
const REQUESTS = 1_000;
const INTERVAL_MS = 9;

/** Size of an answer, bytes (mean of order-status). */
const BODY_BYTES = 5_000;

/** A faulty backend breaks off one answer in so many (share 0.05). */
const ANSWERS_PER_BREAK = 20;

/** Backends that are faulty: half of those of the service. */
const FAULTY_SHARE = 0.5;

const BUDGET_MS = 800;

const ROUTE = {
  name: 'r-status',
  host: HOST,
  path_prefix: '/status/',
  kind: 'idempotent',
  timeout: `${BUDGET_MS}ms`,
  goal: '200ms',
  priority: 1,
  service: 'x-tradedesk',
  attempts: 2,
};

/** Creates the answers of one backend; those that break off have no length. */
function createAnswers(broken, record) {
  let answers = 0;
  return ({socket, health, own, requestId}) => {
    if (health || ++answers % ANSWERS_PER_BREAK !== 0) return false;
    broken.add(requestId);
    record.write('backend', `breaks off the answer to ${requestId}`);
    const headers = {...own, Connection: 'close'};
    const head = formatMessage('HTTP/1.1 200 OK', headers);
    const part = Buffer.alloc(BODY_BYTES / 2, 'x');
    socket.write(Buffer.concat([head, part]));
    socket.resetAndDestroy();
    return true;
  };
}

await runCase(join(DIR, 'record.txt'), async (record, onClose) => {
  const broken = new Set();
  // All machines are of the service, so that a share of its backends is whole.
  const machines = MACHINES.map(({zone}) => ({zone, service: ROUTE.service}));
  const faultyCount = Math.floor(machines.length * FAULTY_SHARE);
  const plan = {
    machines,
    services: {[ROUTE.service]: {slots: 12, workMs: 64}},
    routes: [ROUTE],
    backend: i => {
      const isFaulty = TROUBLE && i < faultyCount;
      const answer = isFaulty ? createAnswers(broken, record) : undefined;
      return {answer, bodyBytes: BODY_BYTES};
    },
  };
  const fleet = await startFleet(plan, record);
  onClose(fleet.close);
  await fleet.waitReady(30_000);
  await delay(3_000);
  const fetchStatus = async i => {
    const node = fleet.nodes[i % fleet.nodes.length];
    const id = randomBytes(8).toString('hex');
    const headers = {
      Host: HOST,
      'X-Request-Id': id,
      'X-Deadline-Ms': BUDGET_MS,
    };
    const bytes = formatMessage(`GET /status/${i} HTTP/1.1`, {
      ...headers,
      Connection: 'close',
    });
    record.write(node.name, `client sends GET /status/${i} as ${id}`);
    const answer = await download(
      node.host,
      node.outbound,
      bytes,
      1e9,
      () => {},
    );
    const [status] = answer.head.split('\r\n');
    const end = answer.clean ? 'in order' : 'by a reset';
    record.write(
      node.name,
      `client gets ${status} for ${id}, ${answer.received} bytes, ended ${end}`,
    );
    return {id, ...answer};
  };
  const requests = [];
  for (let i = 0; i < REQUESTS; i += 2) {
    requests.push(fetchStatus(i), fetchStatus(i + 1));
    await delay(INTERVAL_MS);
  }
  const results = await Promise.all(requests);
  const whole = results.filter(({received}) => received === BODY_BYTES).length;
  record.write('check', `${whole} of ${results.length} whole`);
  record.write('check', `${broken.size} answers broken off by backends`);
  if (!TROUBLE && whole < results.length) {
    throw new Error('requests failed without the disruption');
  }
  return results.flatMap(({id, head, received, clean}) => {
    const isSuccess = head.startsWith('HTTP/1.1 200');
    const hasLength = /^(content-length|transfer-encoding):/im.test(head);
    if (!isSuccess || received === BODY_BYTES) return [];
    if (!hasLength && !clean) return [];
    return [
      `MIXED: ${id} got 200 and ${received} of ${BODY_BYTES} bytes, ` +
        'and looks complete',
    ];
  });
});
