import {readdirSync, readFileSync} from 'node:fs';
import test from 'ava';
import {parse} from 'yaml';
import {checkDocument, settingsSchema} from '../src/internal.js';

const SIZES: Record<string, Record<string, number>> = {
  'deployment-1': {catalogue: 4, dyehouse: 3, tradedesk: 3},
  'deployment-2': {'rug-ledger': 5, 'wash-orders': 4, 'docs-store': 3},
};

function loadYaml(path: string): unknown {
  return parse(readFileSync(new URL(path, import.meta.url), 'utf8'));
}

for (const [name, sizes] of Object.entries(SIZES)) {
  const root = `../../examples/${name}`;

  test(`the example document of ${name} is valid`, t => {
    const checked = checkDocument(loadYaml(`${root}/document.yaml`));
    t.deepEqual(checked.ok ? [] : checked.faults, []);
    if (!checked.ok) return;
    for (const route of Object.values(checked.value.routes)) {
      // An idempotent route is retried, which could run a booking twice.
      t.not(route.idempotent, route.priority === 'booking');
    }
  });

  test(`the example settings of ${name} match its document and sizes`, t => {
    const checked = checkDocument(loadYaml(`${root}/document.yaml`));
    if (!checked.ok) return t.fail();
    const {dataCentres, services} = checked.value;
    const directory = new URL(`${root}/settings/`, import.meta.url);
    const all = readdirSync(directory).map(file => {
      const settings = settingsSchema.parse(loadYaml(`${directory}${file}`));
      t.is(file, `${settings.id}.yaml`);
      t.is(dataCentres[settings.dataCentre].region, settings.region);
      t.true(
        services[settings.service].dataCentres.includes(settings.dataCentre),
      );
      return settings;
    });
    const counts: Record<string, number> = {};
    for (const {service} of all) counts[service] = (counts[service] ?? 0) + 1;
    t.deepEqual(counts, sizes);
    t.is(new Set(all.map(s => s.listen.host)).size, all.length);
    t.is(new Set(all.map(s => s.peerKey)).size, 1);
  });
}
