// A request crashes the backends that run it, and comes again.
import {
  addBackend,
  Client,
  createConfig,
  delay,
  hostOf,
  Machine,
  now,
  runCase,
} from '../lib-3/harness.mjs';

const SERVICES = ['tradedesk', 'tradedesk', 'tradedesk', 'catalogue'];
const ZONES = ['howrah', 'salt-lake', 'barasat', 'howrah'];

/** Time for which a backend is away after a crash, ms. */
const AWAY_MS = 2_000;

/** The request comes again so often, ms. */
const AGAIN_MS = 1_000;

/** Time for which it comes again, s; and length of the run. */
const AGAIN_FOR_S = 24;

const TOUCH_MS = 3_000;

/** Retries that the rule allows later than `touch` after the third crash. */
const MAX_RETRIES = 3;

await runCase(import.meta.url, async context => {
  const {recorder, store, dir, machines, trouble, onClose} = context;
  const routes = [
    {
      name: 'r-status',
      host: 't.example',
      path_prefix: '/status/',
      kind: 'idempotent',
      timeout: '1200ms',
      goal: '600ms',
      priority: 1,
      service: 'tradedesk',
      attempts: 2,
    },
  ];
  const services = ['catalogue', 'tradedesk'].map(name => ({name}));
  store.put('op/config', createConfig({version: 7, routes, services}));
  const seeds = [0, 1, 2].map(index => `${hostOf(index)}:18305`);
  SERVICES.forEach((service, index) => {
    const zone = ZONES[index];
    const name = `sidecar-${zone}-${index}`;
    machines.push(new Machine({dir, index, name, zone, service, store, seeds}));
  });
  const runs = [];
  const backends = machines.map(machine => {
    const backend = addBackend(recorder, machine, {
      work: () => 40,
      onRun(req) {
        if (req.url !== '/status/poison') return undefined;
        runs.push({at: now(), backend: backend.id});
        if (!trouble) return undefined;
        setTimeout(() => {
          recorder.write('crashed', {backend: backend.id});
          backend.crash();
          setTimeout(() => {
            void backend.start();
            recorder.write('back', {backend: backend.id});
          }, AWAY_MS);
        }, 20);
        return 'crashed';
      },
    });
    return backend;
  });
  onClose(() => {
    for (const backend of backends) backend.crash();
  });
  for (const backend of backends) await backend.start();
  for (const machine of machines) machine.start();
  await context.waitUntilReady();
  await delay(3_500);

  const clients = machines.map(machine => new Client(recorder, machine));
  const request = {name: 'status', host: 't.example', deadlineMs: 1_500};
  let sent = 0;
  let served = 0;
  let running = true;
  const calm = (async () => {
    for (let turn = 0; running; turn++) {
      sent++;
      void clients[turn % 4]
        .ask({...request, path: `/status/${turn}`})
        .then(({status}) => status === 200 && served++);
      await delay(50);
    }
  })();
  await delay(1_000);

  /** One client of the machine of the catalogue, with one retry of its own. */
  const poison = async () => {
    const ask = () => clients[3].ask({...request, path: '/status/poison'});
    const {status} = await ask();
    if (status !== 200) await ask();
  };
  await poison();
  const startedAt = now();
  for (let n = 1; now() - startedAt < AGAIN_FOR_S * 1_000; n++) {
    await delay(startedAt + n * AGAIN_MS - now());
    void clients[3].ask({...request, path: '/status/poison'});
  }
  await delay(1_500);
  running = false;
  await calm;
  await delay(1_600);

  recorder.say(`other requests: ${served} of ${sent} served`);
  recorder.say(
    `runs, s: ${runs.map(({at}) => ((at - runs[0].at) / 1_000).toFixed(2)).join(' ')}`,
  );
  if (!trouble || runs.length < 3) return true;
  const late = runs.filter(({at}) => at > runs[2].at + TOUCH_MS);
  recorder.say(
    `runs later than touch after the third crash: ${late.length}, allowed ${MAX_RETRIES}`,
  );
  return late.length <= MAX_RETRIES;
});
