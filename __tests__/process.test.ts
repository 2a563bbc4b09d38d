import test from 'ava';
import {KEYS_PATH} from '../src/internal.js';
import {createCustomer} from '../standins/customer.js';
import {loadExample} from '../standins/example.js';
import {startFleet, type Fleet} from '../standins/fleet.js';
import {isCompleteDownload} from '../standins/download.js';

// Limit of each wait for a condition; the tests check no durations.
const WAIT_LIMIT_MS = 30_000;
const DOWNLOAD_BYTES = 2_000_000;
const DOWNLOAD = `/catalogue/lookbooks/1?bytes=${DOWNLOAD_BYTES}&chunkMs=25`;

const customer = createCustomer();
let fleet: Fleet;

test.before(async () => {
  fleet = await startFleet({
    document: loadExample('deployment-1'),
    // Other tests cover cold upstreams.
    upstream: {serviceMs: 5, cold: {warmAfterRuns: 0}},
    instances: [
      {id: 'dyehouse-1', service: 'dyehouse', dataCentre: 'howrah'},
      {id: 'dyehouse-2', service: 'dyehouse', dataCentre: 'salt-lake'},
      {id: 'catalogue-1', service: 'catalogue', dataCentre: 'barasat'},
    ],
  });
  await waitForFullMembership();
});

test.after.always(async () => {
  await customer.close();
  await fleet?.stop();
});

/** Waits until every daemon is ready and sees the other two as live. */
async function waitForFullMembership(): Promise<void> {
  await fleet.waitReady(WAIT_LIMIT_MS);
  await fleet.waitFor(
    'every daemon sees all others',
    async () => {
      const all = await Promise.all(
        fleet.instances.map(({id}) => fleet.readStatus(id)),
      );
      return all.every(status => {
        const states = Object.values(status?.members ?? {});
        return states.flatMap(state => state.live ?? []).length === 3;
      });
    },
    WAIT_LIMIT_MS,
  );
}

/** Sends reads until the owner admits a few requests at a time. */
async function warmUp(id: string): Promise<void> {
  await fleet.waitFor(
    `${id} is warm`,
    async () => {
      const reads = Array.from({length: 8}, () =>
        customer.send(getCustomerUrl(id), {path: '/catalogue/items/1'}),
      );
      await Promise.all(reads);
      const status = await fleet.readStatus(id);
      return (status?.upstream?.limit ?? 0) >= 6;
    },
    WAIT_LIMIT_MS,
  );
}

function getCustomerUrl(id: string): string {
  return fleet.get(id).daemon.customerUrl;
}

test.serial(
  'a request that enters at any daemon reaches its service',
  async t => {
    for (const {id} of fleet.instances) {
      const path = `/dye/status/1?op=route-${id}`;
      const answer = await customer.send(getCustomerUrl(id), {path});
      t.is(answer.status, 200);
      t.is(answer.verdict, 'ran');
      const runs = fleet.ledger.findByOperation(`route-${id}`);
      t.is(runs.length, 1);
      t.regex(runs[0].upstream, /^dyehouse-/);
    }
  },
);

test.serial('a patch changes the route in every daemon', async t => {
  fleet.publishPatch('dye status is read from the catalogue', document => {
    document.routes['dye-status'].service = 'catalogue';
  });
  await fleet.waitVersion(WAIT_LIMIT_MS);
  for (const {id} of fleet.instances) {
    const path = `/dye/status/1?op=patched-${id}`;
    const answer = await customer.send(getCustomerUrl(id), {path});
    t.is(answer.status, 200);
    const runs = fleet.ledger.findByOperation(`patched-${id}`);
    t.deepEqual(
      runs.map(run => run.upstream),
      ['catalogue-1'],
    );
  }
});

test.serial(
  'a booking repeated with its key at other daemons runs once',
  async t => {
    const {key} = await customer.send(getCustomerUrl('dyehouse-1'), {
      path: `${KEYS_PATH}?path=/dye/bookings&method=POST`,
      method: 'POST',
    });
    const answers = [];
    for (const {id} of fleet.instances) {
      answers.push(
        await customer.send(getCustomerUrl(id), {
          path: '/dye/bookings?op=bath-1',
          method: 'POST',
          headers: {'idempotency-key': key},
          body: '{"bath":1}',
        }),
      );
    }
    for (const {status, verdict, body} of answers) {
      t.is(status, 200);
      t.is(verdict, 'ran');
      t.deepEqual(body, answers[0].body);
    }
    t.is(fleet.ledger.findByOperation('bath-1').length, 1);
  },
);

test.serial('SIGTERM interrupts no download and exits with code 0', async t => {
  const {daemon} = fleet.get('catalogue-1');
  await warmUp('catalogue-1');
  // One enters at the stopping daemon, one is forwarded to it.
  const downloads = ['catalogue-1', 'dyehouse-1'].map(id =>
    customer.send(getCustomerUrl(id), {
      path: `${DOWNLOAD}&op=download-${id}`,
    }),
  );
  await fleet.waitFor(
    'both downloads run',
    () => fleet.get('catalogue-1').upstream.load().running === 2,
    WAIT_LIMIT_MS,
  );
  daemon.signal('SIGTERM');
  await fleet.waitFor(
    'the daemon leaves',
    async () => (await daemon.readAdmin('/ready'))?.status === 503,
    WAIT_LIMIT_MS,
  );
  // A second signal must not interrupt downloads that the first lets finish.
  daemon.signal('SIGTERM');
  for (const answer of await Promise.all(downloads)) {
    t.is(answer.status, 200);
    t.true(isCompleteDownload(answer.body, DOWNLOAD_BYTES));
  }
  t.is(await daemon.exited, 0);
  fleet.restart('catalogue-1');
  await waitForFullMembership();
});

test.serial('the other daemons keep serving when one is killed', async t => {
  const {daemon} = fleet.get('dyehouse-1');
  daemon.signal('SIGKILL');
  t.is(await daemon.exited, 'SIGKILL');
  for (const id of ['dyehouse-2', 'catalogue-1']) {
    for (let n = 0; n < 10; n++) {
      const {verdict} = await customer.send(getCustomerUrl(id), {
        path: `/dye/bookings?op=after-${id}-${n}`,
        method: 'POST',
        body: '{}',
      });
      // A refused connection proves that nothing ran, so a retry is safe.
      t.is(verdict, 'ran');
      t.is(fleet.ledger.findByOperation(`after-${id}-${n}`).length, 1);
    }
  }
});
