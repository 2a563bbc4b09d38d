// A backend breaks off an answer that has no length, with a reset.
import {randomBytes} from 'node:crypto';
import {dirname, join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {TROUBLE, runCase} from '../lib/case.mjs';
import {download} from '../lib/client.mjs';
import {startFleet} from '../lib/fleet.mjs';
import {formatMessage} from '../lib/http_bytes.mjs';
import {HOST, MACHINES, SERVICES} from '../lib/plans.mjs';

const DIR = dirname(fileURLToPath(import.meta.url));

/** Downloads, and the time between two of them, ms. */
const DOWNLOADS = 400;
const INTERVAL_MS = 12;

/** Size of a download, bytes (mean of lookbook-get). */
const BODY_BYTES = 90_000;

/** A faulty backend breaks off one answer in so many (share 0.05). */
const ANSWERS_PER_BREAK = 20;

/** Backends that are faulty: half of those of the service. */
const FAULTY_SHARE = 0.5;

const BUDGET_MS = 1_500;

const ROUTE = {
  name: 'r-lookbook',
  host: HOST,
  path_prefix: '/lookbook/',
  kind: 'download',
  timeout: `${BUDGET_MS}ms`,
  goal: '400ms',
  priority: 2,
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
    socket.write(Buffer.concat([head, part]), () => socket.resetAndDestroy());
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
    services: SERVICES,
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
  const fetchBook = async i => {
    const node = fleet.nodes[i % fleet.nodes.length];
    const id = randomBytes(8).toString('hex');
    const headers = {
      Host: HOST,
      'X-Request-Id': id,
      'X-Deadline-Ms': BUDGET_MS,
    };
    const bytes = formatMessage(`GET /lookbook/${i} HTTP/1.1`, {
      ...headers,
      Connection: 'close',
    });
    record.write(node.name, `client sends GET /lookbook/${i} as ${id}`);
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
  const downloads = [];
  for (let i = 0; i < DOWNLOADS; i++) {
    downloads.push(fetchBook(i));
    await delay(INTERVAL_MS);
  }
  const results = await Promise.all(downloads);
  const whole = results.filter(({received}) => received === BODY_BYTES).length;
  record.write('check', `${whole} of ${results.length} whole`);
  record.write('check', `${broken.size} answers broken off by backends`);
  if (!TROUBLE && whole < results.length) {
    throw new Error('downloads failed without the disruption');
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
