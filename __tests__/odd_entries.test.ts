import test from 'ava';
import fc from 'fast-check';
import {decodeEntry} from '../platform/decode.js';
import {
  findByAddress,
  listHosts,
  meshUpstreamSchema,
  MAX_COLD_MS,
} from '../src/internal.js';
import {startHarness, until} from './support/sidecar_harness.js';

// Entries that another writer has left among those of the upstreams.

const NESTED = '['.repeat(200_000) + ']'.repeat(200_000);
const VALID = {
  addr: '127.0.0.1:9',
  born: 1_000,
  info: {service: 's', version: 'v1', zone: 'dc1', slots: 8},
  status: {state: 'ready', sequence: 1, cold_left: '0ms'},
};

const ODD_ENTRIES: Record<string, string> = {
  nested: NESTED,
  nestedAddress: `{"addr":${NESTED}}`,
  nestedState: `{"addr":"127.0.0.1:9","status":{"state":${NESTED}}}`,
  hugeBirth: JSON.stringify(VALID).replace('1000', '1e400'),
  hugeSlots: JSON.stringify({
    ...VALID,
    info: {...VALID.info, slots: 2 ** 53 - 1},
  }),
  longCold: JSON.stringify({
    ...VALID,
    status: {...VALID.status, cold_left: `1${'0'.repeat(29)}ms`},
  }),
  portTooLarge: JSON.stringify({...VALID, addr: '127.0.0.1:99999'}),
  padded: JSON.stringify({...VALID, addr: '010.001.000.008:9'}),
  paddedPort: JSON.stringify({...VALID, addr: '127.0.0.1:0009'}),
  octetTooLarge: JSON.stringify({...VALID, addr: '300.1.2.3:9'}),
  octetMissing: JSON.stringify({...VALID, addr: '127.0.1:9'}),
  ...Object.fromEntries(
    Object.entries({
      noVersion: {info: {...VALID.info, version: undefined}},
      versionOfAnotherType: {info: {...VALID.info, version: 1}},
      noSequence: {status: {...VALID.status, sequence: undefined}},
      sequenceOfAnotherType: {status: {...VALID.status, sequence: '1'}},
      noColdTime: {status: {...VALID.status, cold_left: undefined}},
    }).map(([name, change]) => [name, JSON.stringify({...VALID, ...change})]),
  ),
  portInHex: JSON.stringify({...VALID, addr: '127.0.0.1:0x50'}),
  noJson: '\u0000\ufffd{',
};

// Daemons that read the list ended again and again, or stopped following it.
test.serial('odd entries of other writers leave the list as it is', async t => {
  const harness = await startHarness(t, ['dc1', 'dc1']);
  const {store, sidecars} = harness;
  for (const [name, text] of Object.entries(ODD_ENTRIES)) {
    store.put(`servers/odd-${name}`, text);
  }
  store.put('servers/u9', {
    ...VALID,
    status: {...VALID.status, state: 'draining'},
  });
  for (const {board} of sidecars) {
    await until(() => board.list.byId.has('u9'));
    t.deepEqual([...board.list.byId.keys()].sort(), ['u0', 'u1', 'u9']);
  }
  t.is((await harness.send(0)).status, 200);
});

// Entries of a service that the configuration does not name were asked for
// updates and told of crashes, and one at the address of an upstream hid it.
test.serial('an entry of an unnamed service names no daemon', async t => {
  const harness = await startHarness(t, ['dc1', 'dc1']);
  const {store, sidecars, upstreams} = harness;
  const info = {...VALID.info, service: 'exporter'};
  const [{host, port}] = upstreams;
  const odd = {...VALID, info, born: 2_000_000_000_000};
  store.put('servers/u9-far', {...odd, addr: '127.0.0.9:9'});
  store.put('servers/u9', {...odd, addr: `${host}:${port}`});
  for (const {board} of sidecars) {
    await until(() => board.list.byId.has('u9'));
    t.deepEqual([...listHosts(board.list)].sort(), [
      upstreams[0].host,
      upstreams[1].host,
    ]);
    t.is(findByAddress(board.list, host, port)?.id, 'u0');
  }
  // Only the upstream whose address the entry has is left to run requests.
  const [, second] = upstreams;
  store.put('servers/u1', {
    ...VALID,
    addr: `${second.host}:${second.port}`,
    status: {...VALID.status, state: 'draining', sequence: 2},
  });
  for (const {board} of sidecars) {
    await until(() => board.list.byId.get('u1')?.state === 'leaving');
  }
  for (let i = 0; i < 5; i++) t.is((await harness.send(0)).status, 200);
  t.is(upstreams[0].runs.length, 5);
  t.is(second.runs.length, 0);
  // Once a configuration names the service, its upstreams count.
  harness.publish({
    services: ['s', 'exporter'].map(name => {
      const fields = {health_path: '/healthz', max_conns: 100};
      return {name, ...fields, cold: '3s', cold_per_s: 20};
    }),
  });
  const [{board}] = sidecars;
  await until(() => listHosts(board.list).includes('127.0.0.9'));
  t.pass();
});

/** Most characters of a line that reports an odd entry. */
const MAX_REASON_CHARS = 2_000;

// An odd entry made the daemons that read it end, or accept values that no
// timer or queue can hold.
test('entries of any shape are refused or within their bounds', t => {
  const number = fc.oneof(
    fc.double(),
    fc.integer(),
    fc.constantFrom(1e400, 2 ** 53, -1, 0, 65_536, 1e300),
  );
  const field = fc.oneof(
    fc.jsonValue({maxDepth: 6}),
    number,
    fc.constantFrom('ready', 'draining', '0ms', '9'.repeat(30) + 's', 's'),
    fc.constantFrom(
      '10.0.0.1:1',
      '10.0.0.1:0x50',
      '10.0.0.1: 80',
      ':',
      '1e9:1',
    ),
  );
  const entry = fc.record(
    {
      addr: field,
      born: field,
      info: fc.oneof(
        field,
        fc.record(
          {service: field, zone: field, slots: field},
          {requiredKeys: []},
        ),
      ),
      status: fc.oneof(
        field,
        fc.record({state: field, cold_left: field}, {requiredKeys: []}),
      ),
    },
    {requiredKeys: []},
  );
  const bytes = fc.oneof(
    entry.map(value => Buffer.from(JSON.stringify(value))),
    fc.uint8Array({maxLength: 200}).map(value => Buffer.from(value)),
  );
  fc.assert(
    fc.property(bytes, value => {
      const update = decodeEntry('servers/odd', value);
      if (update?.kind === 'unreadable') {
        return update.reason.length <= MAX_REASON_CHARS;
      }
      if (update?.kind !== 'upstream') return false;
      const {coldMs, slots, port} = update.upstream;
      return (
        meshUpstreamSchema.safeParse(update.upstream).success &&
        coldMs <= MAX_COLD_MS &&
        Number.isSafeInteger(slots) &&
        port >= 1 &&
        port <= 65_535
      );
    }),
    {seed: 34, numRuns: 2_000},
  );
  t.pass();
});

test('configurations of any shape are refused or accepted', t => {
  fc.assert(
    fc.property(fc.jsonValue({maxDepth: 5}), value => {
      const text = Buffer.from(JSON.stringify(value));
      return decodeEntry('op/config', text)?.kind === 'unreadable';
    }),
    {seed: 34, numRuns: 500},
  );
  const nested = decodeEntry('op/config', Buffer.from(`{"routes":${NESTED}}`));
  t.is(nested?.kind, 'unreadable');
});
