// BUDGET: a request that crashes backends comes again while the daemons are
// restarted in turn. See claim.txt.
import {Backend} from '../lib-2/backend.mjs';
import {makeId, send} from '../lib-2/client.mjs';
import {Daemon, PORTS, SUBNET, runCase, sleep} from '../lib-2/daemons.mjs';
import {Store, putConfig} from '../lib-2/platform.mjs';

/** Time for which a machine must have run undisturbed to be in touch, ms. */
const TOUCH_MS = 3_000;

/** Time for which a crashed backend is away, ms. */
const AWAY_MS = 2_500;

/** Pause between two attempts of the client with the crashing request, ms. */
const REPEAT_MS = 4_500;

/** Machines that are restarted, one after the other. */
const RESTARTED = 3;

/** Retries that may reach backends `touch` after the third crash. */
const MAX_RETRIES = 3;

const ZONES = ['howrah', 'salt-lake', 'barasat', 'howrah'];
const POISON = '/bookings/7f';

await runCase(import.meta.dirname, async ({dir, record, daemons, trouble}) => {
  const store = new Store();
  await store.listen(`${SUBNET}.250`, 8309);
  const storeAddress = `${SUBNET}.250:8309`;
  const route = (name, path_prefix, kind) => ({
    ...{name, host: 'shop.example', path_prefix, service: 'dyehouse', kind},
    ...{attempts: kind === 'idempotent' ? 2 : 1, timeout: '2500ms'},
    ...{goal: '600ms', priority: 1},
  });
  putConfig(
    store,
    12,
    [
      route('book', '/bookings/', 'non_idempotent'),
      route('read', '/stock/', 'idempotent'),
    ],
    [
      {
        ...{name: 'dyehouse', health_path: '/healthz', max_conns: 110},
        ...{cold: '3s', cold_per_s: 23},
      },
    ],
  );
  let crashes = 0;
  let thirdAt = Infinity;
  const runs = [];
  const backends = ZONES.map((zone, i) => {
    const host = `${SUBNET}.${i + 1}`;
    return new Backend(store, {
      ...{name: `u${i + 1}`, service: 'dyehouse', zone, host},
      port: PORTS.app,
      isPoison: req => req.url === POISON,
      onRun(backend, req) {
        if (req.url !== POISON) return;
        const at = performance.now();
        const id = req.headers['x-request-id'];
        runs.push({at, id});
        crashes++;
        if (crashes === 3) thirdAt = at;
        record(`backend ${backend.id} runs ${id} and crashes (${crashes})`);
        setTimeout(() => {
          backend.start().catch(err => record(`error: ${err.message}`));
        }, AWAY_MS);
      },
    });
  });
  for (const backend of backends) await backend.start();
  const seeds = [1, 2, 3].map(i => `${SUBNET}.${i}:${PORTS.control}`);
  ZONES.forEach((zone, i) => {
    const host = `${SUBNET}.${i + 1}`;
    daemons.push(
      new Daemon(
        ...[dir, `m${i + 1}`, host, zone, 'dyehouse', storeAddress, seeds],
      ),
    );
  });
  for (const daemon of daemons) daemon.start();
  for (const daemon of daemons) await daemon.waitUntilReady();
  record('all daemons are ready');
  const readyAt = new Map(daemons.map(d => [d, performance.now()]));

  let served = 0;
  let sent = 0;
  const traffic = setInterval(() => {
    const daemon = daemons[sent++ % daemons.length];
    const id = makeId('read');
    const path = `/stock/${id}`;
    const request = {id, method: 'GET', host: 'shop.example', path};
    void send(daemon, {...request, deadlineMs: 2_500}).then(({status}) => {
      if (status === 200) served++;
    });
  }, 40);

  /** Attempts after `touch` of the third crash, from machines in touch. */
  const judged = new Set();
  const attempt = async daemon => {
    const id = makeId('book');
    const at = performance.now();
    const inTouch = at - readyAt.get(daemon) > TOUCH_MS;
    if (inTouch && at > thirdAt + TOUCH_MS) judged.add(id);
    record(`client on ${daemon.name} sends ${id}, POST ${POISON}`);
    const {status} = await send(daemon, {
      ...{id, method: 'POST', host: 'shop.example', path: POISON},
      ...{body: Buffer.from('lot 31, goose'), deadlineMs: 2_500},
    });
    record(`${id} ends with ${status}`);
    await sleep(REPEAT_MS);
  };
  await sleep(TOUCH_MS + 500);
  await attempt(daemons[0]);
  await attempt(daemons[1]);
  await attempt(daemons[2]);
  for (const daemon of daemons.slice(0, RESTARTED)) {
    if (trouble) {
      record(`SIGTERM to ${daemon.name}`);
      await daemon.terminate();
      daemon.start();
      await daemon.waitUntilReady();
      record(`${daemon.name} is ready again`);
      readyAt.set(daemon, performance.now());
    } else await sleep(3_000);
    await sleep(TOUCH_MS + 500);
    await attempt(daemon);
    await attempt(daemon);
  }
  clearInterval(traffic);
  const reached = new Set(
    runs.filter(({id}) => judged.has(id)).map(({id}) => id),
  );
  record(`ordinary requests sent ${sent}, answered with 200: ${served}`);
  record(
    `crashes ${crashes}; retries of it from machines in touch, later than ` +
      `3 s after the third: sent ${judged.size}, reached a backend ` +
      `${reached.size}, allowed ${MAX_RETRIES}`,
  );
  return reached.size > MAX_RETRIES;
});
