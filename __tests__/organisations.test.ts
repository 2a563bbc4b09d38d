import test from 'ava';
import fc from 'fast-check';
import {createMetrics, renderMetrics} from '../src/daemon/metrics.js';
import {
  KEY_FAULT_TEXTS,
  MAX_COPY_AGE_MS,
  MAX_SHOWN_ORGANISATIONS,
  countOrganisationEnd,
  createApiKeyTable,
  createOrganisationCounts,
  findOrganisation,
  listLargestCounts,
  pruneOrganisationCounts,
  refuseByCopy,
  type MeshOrganisation,
} from '../src/internal.js';

function makeOrganisation(name: string, ...keys: string[]): MeshOrganisation {
  return {name, keys, ratePerS: 0, burst: 0};
}

/** A header value as Node reads it: one character for each byte. */
function encodeBearer(key: string): string {
  return `Bearer ${Buffer.from(key, 'utf8').toString('latin1')}`;
}

const LONG_KEY = 'k'.repeat(8_192);

const TABLE = createApiKeyTable([
  makeOrganisation('a', 'key-a', 'in both', '', LONG_KEY, 'schlüssel', 'twice'),
  makeOrganisation('b', 'key-b', 'in both', 'twice', 'twice'),
  makeOrganisation('a', 'in both entries of a', 'key-a'),
])!;

// Guards against a request that runs for another organisation than that of its key,
// or for any without a key.
test('each form of a key gets its organisation or the reason why not', t => {
  const cases: Record<string, string[]> = {
    known: ['Bearer key-a'],
    'scheme in another case': ['bEARER key-b'],
    'several spaces': ['Bearer   key-b'],
    'of 8 KB': [`Bearer ${LONG_KEY}`],
    'outside ASCII': [encodeBearer('schlüssel')],
    'in two entries of one name': ['Bearer key-a'],
    'no header': [],
    'two headers': ['Bearer key-a', 'Bearer key-a'],
    'another scheme': ['Basic key-a'],
    'no scheme': ['key-a'],
    'scheme without a space': ['Bearerkey-a'],
    'tab as separator': ['Bearer\tkey-a'],
    'empty key': ['Bearer '],
    'scheme alone': ['Bearer'],
    'empty header': [''],
    'unknown key': ['Bearer key-c'],
    'key in another case': ['Bearer KEY-A'],
    'prefix of a key': ['Bearer key-'],
    'key with more behind it': ['Bearer key-a x'],
    'two keys in one header': ['Bearer key-a, Bearer key-a'],
    'in two organisations': ['Bearer in both'],
    'in two organisations, twice in one': ['Bearer twice'],
  };
  const results = Object.entries(cases).map(([name, values]) => {
    const {organisation, fault} = findOrganisation(TABLE, values);
    if (fault) t.true(KEY_FAULT_TEXTS.has(fault));
    return `${name}: ${organisation?.name ?? `(${fault})`}`;
  });
  t.snapshot(results);
});

test('a version without organisations has no table', t => {
  t.is(createApiKeyTable(undefined), undefined);
  // Removing the last organisation must not open all routes.
  t.deepEqual(findOrganisation(createApiKeyTable([])!, ['Bearer k']), {
    fault: 'unknown',
  });
  // Customers of an organisation without keys are refused, not let through.
  const table = createApiKeyTable([makeOrganisation('a')]);
  t.deepEqual(findOrganisation(table!, ['Bearer ']), {fault: 'empty'});
});

// The digests of unchanged organisations are kept between versions; those of one
// that lost a key must not be.
test('the table agrees with a search of all keys, version after version', t => {
  const key = fc
    .string({unit: 'grapheme', maxLength: 3})
    .filter(text => !/^\s|\s$/.test(text));
  const organisation = fc
    .record({name: fc.constantFrom('a', 'b', 'c'), keys: fc.array(key)})
    .map(({name, keys}) => makeOrganisation(name, ...keys));
  const version = fc.array(organisation, {minLength: 1, maxLength: 5});
  const check = (
    versions: MeshOrganisation[][],
    kept: number,
    asked: string[],
  ) => {
    for (const [i, own] of versions.entries()) {
      const organisations = [...own, ...(versions[i - 1] ?? []).slice(0, kept)];
      const table = createApiKeyTable(organisations)!;
      const keys = [...asked, ...versions.flat().flatMap(item => item.keys)];
      for (const text of keys) {
        const holders = new Set(
          organisations
            .filter(item => text !== '' && item.keys.includes(text))
            .map(({name}) => name),
        );
        const [name] = holders;
        const expected =
          text === ''
            ? 'empty'
            : holders.size === 0
              ? 'unknown'
              : holders.size > 1
                ? 'shared'
                : name;
        const found = findOrganisation(table, [encodeBearer(text)]);
        if ((found.organisation?.name ?? found.fault) !== expected) {
          return false;
        }
      }
    }
    return true;
  };
  const versions = fc.array(version, {minLength: 1, maxLength: 3});
  const property = fc.property(versions, fc.nat(3), fc.array(key), check);
  t.notThrows(() => fc.assert(property, {seed: 57, numRuns: 300}));
});

// 401 is final for customers, so a daemon that may have missed the version with
// their key must not send it.
test('a key is refused for good only by a copy that is current', t => {
  t.deepEqual(
    [0, MAX_COPY_AGE_MS, MAX_COPY_AGE_MS + 1, Infinity].map(ageMs =>
      refuseByCopy('unauthorised', ageMs),
    ),
    ['unauthorised', 'unauthorised', 'staleView', 'staleView'],
  );
});

function countMany(organisations: number) {
  const counts = createOrganisationCounts();
  for (let i = 0; i < organisations; i++) {
    for (let n = 0; n <= i % 50; n++) {
      countOrganisationEnd(counts, `org "${i}"`, n % 2 ? 'full' : 'answered');
    }
  }
  return counts;
}

// A page that grows with the organisations costs small instances their processor
// time, and its reader its memory.
test('the metrics page shows the largest organisations and the sum of the rest', async t => {
  const page = async (organisations: number) =>
    renderMetrics(
      {counters: new Map()},
      createMetrics(),
      {},
      countMany(organisations),
    );
  const lines = (await page(2_000))
    .split('\n')
    .filter(line => !/^#|^$/.test(line));
  t.is(lines.length, 2 * MAX_SHOWN_ORGANISATIONS + 2);
  t.snapshot([...lines.slice(0, 2), ...lines.slice(-2)]);
  t.is((await page(0)).trim(), '');
});

// Names that come and go with the versions would fill the memory.
test('former organisations count among the rest', t => {
  const counts = countMany(30);
  pruneOrganisationCounts(counts, [makeOrganisation('org "29"')]);
  t.is(counts.byName.size, 1);
  const {largest, rest} = listLargestCounts(counts);
  const total = [...rest.values(), ...largest[0].results.values()];
  t.is(
    total.reduce((sum, n) => sum + n, 0),
    (30 * 31) / 2,
  );
});
