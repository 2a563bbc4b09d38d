import test from 'ava';
import fc from 'fast-check';
import {
  applyCheckpoint,
  applyEntries,
  checkDocument,
  checkPatch,
  computeDigest,
  createConfigState,
  createVersion,
  findEntriesAfter,
  getPosition,
  LOG_BYTES,
  makePatch,
  MAX_VALUE_BYTES,
  type ConfigState,
  type Document,
  type Entry,
} from '../src/internal.js';
import {exampleDocument, Platform, withSlots} from './support/naive_config.js';

const SEED = {seed: 71, numRuns: 300};

function started(): {platform: Platform; state: ConfigState} {
  const platform = new Platform();
  platform.publishSnapshot(1, exampleDocument());
  const state = createConfigState();
  applyEntries(state, platform.entries);
  return {platform, state};
}

function patchWith(state: ConfigState, ops: unknown): Entry {
  const {current, index} = state;
  const {version: base, digest: baseDigest} = current!;
  const value = {base, baseDigest, ops, author: 'op', note: ''};
  return {index: index + 1, prev: index, kind: 'patch', value};
}

function checkpointOf(state: ConfigState) {
  const {current, index, refusals} = state;
  const {version, digest, document} = current!;
  return {t: 'checkpoint', index, version, digest, document, refusals};
}

function faultsOf(change: (document: Document) => void): string[] {
  const document = exampleDocument();
  change(document);
  const checked = checkDocument(document);
  return checked.ok ? [] : checked.faults;
}

test('a document with a broken reference graph is not accepted', t => {
  const route = exampleDocument().routes.r1;
  const service = exampleDocument().services.s1;
  t.deepEqual(
    faultsOf(() => undefined),
    [],
  );
  t.snapshot({
    missingService: faultsOf(d => (d.routes.r1.service = 'none')),
    missingDataCentre: faultsOf(d => d.services.s1.dataCentres.push('d9')),
    everyDataCentreOut: faultsOf(d => {
      d.dataCentres.d1.state = 'out';
      d.dataCentres.d2.state = 'out';
    }),
    duplicatePair: faultsOf(d => {
      d.routes.r2 = {...route, methods: ['POST', 'GET']};
    }),
    methodTwice: faultsOf(d => d.routes.r1.methods.push('GET')),
    reservedName: faultsOf(d =>
      Object.assign(d.services, {constructor: service}),
    ),
    notAscii: faultsOf(d => (d.routes.r1.pathPrefix = '/\ud800')),
    wrongType: faultsOf(d => (d.services.s1.slots = 0.5)),
    badName: faultsOf(d => (d.services['A/b'] = service)),
    unknownField: faultsOf(d => Object.assign(d.services.s1, {more: 1})),
    tooLarge: faultsOf(d => Object.assign(d, {x: 'x'.repeat(1_000_000)})),
  });
});

test('a service without any data centre in is fine while no route uses it', t => {
  const change = (d: Document) => {
    d.dataCentres.d1.state = 'out';
    d.services.s2 = {...d.services.s1, dataCentres: ['d1']};
  };
  t.deepEqual(faultsOf(change), []);
});

test('a patch cannot reach the prototype of any object', t => {
  const {state} = started();
  const banned = JSON.parse('{"__proto__":{"polluted":1}}') as unknown;
  const attempts: unknown[] = [
    {op: 'add', path: '/__proto__/polluted', value: 1},
    {op: 'add', path: '/constructor/prototype/polluted', value: 1},
    {op: 'add', path: '/services/constructor', value: 1},
    {op: 'copy', from: '/toString', path: '/routes/x'},
    {op: 'move', from: '/services/__proto__', path: '/routes/x'},
    {op: 'remove', path: '/services/hasOwnProperty'},
    {op: 'add', path: '/services/s2', value: banned},
    {op: 'test', path: '/services', value: 1, extra: banned},
  ];
  const entries = attempts.map(op => patchWith(state, [op]));
  const reasons = entries.map(entry => {
    const checked = checkPatch(state.current, entry.value);
    return checked.ok ? 'accepted' : checked.faults.join('; ');
  });
  t.snapshot(reasons);
  t.is(({} as {polluted?: number}).polluted, undefined);
});

test('an operation of invalid shape is refused with its place', t => {
  const {state} = started();
  const value = (ops: unknown) => patchWith(state, ops).value;
  const reasons = [
    [],
    'text',
    [null],
    [{op: 'add', path: '/routes/r2'}],
    [{op: 'copy', path: '/routes/r2'}],
    [{op: 'remove', path: 'routes/r1'}],
    [{op: 'remove', path: '/routes/~2'}],
    [{op: 'remove', path: '/routes/none'}],
    [{op: 'add', path: '/services/s1/slots/x', value: 1}],
    [
      {op: 'test', path: '/services/s1/slots', value: 4},
      {op: 'test', path: '/services/s1/slots', value: 5},
    ],
    [{op: 'remove', path: ''}],
    [{op: 'move', from: '/routes', path: '/routes/r1'}],
  ].map(ops => {
    const checked = checkPatch(state.current, value(ops));
    return checked.ok ? 'accepted' : checked.faults.join('; ');
  });
  t.snapshot(reasons);
});

test('applying a patch does not change the entry that is relayed', t => {
  const {state} = started();
  const service = {...exampleDocument().services.s1};
  const entry = patchWith(state, [
    {op: 'add', path: '/services/s2', value: service},
    {op: 'test', path: '/services/s2/slots', value: 4},
    {op: 'replace', path: '/services/s2/slots', value: 9},
  ]);
  const published = structuredClone(entry);
  t.is(applyEntries(state, [entry]).accepted.length, 1);
  t.deepEqual(entry, published);
  t.is(state.current?.document.services.s2.slots, 9);
});

test('a version in use cannot be changed in place', t => {
  const {state} = started();
  const {document} = state.current!;
  t.throws(() => (document.services.s1.slots = 9), {instanceOf: TypeError});
  t.throws(() => document.services.s1.dataCentres.pop());
});

test('of racing patches one wins and a bad patch stops no later one', t => {
  const {platform, state} = started();
  const base = platform.version;
  platform.publishPatch(base, withSlots(base.document, 5));
  platform.publishPatch(base, withSlots(base.document, 6));
  const bad = [{op: 'replace', path: '/routes/r1/service', value: 'none'}];
  platform.publish('patch', patchWith(platform.reference, bad).value);
  const next = platform.version;
  platform.publishPatch(next, withSlots(next.document, 7));
  const {accepted, refused} = applyEntries(state, platform.entries);
  t.deepEqual(
    accepted.map(({version, document}) => [
      version,
      document.services.s1.slots,
    ]),
    [
      [2, 5],
      [3, 7],
    ],
  );
  t.snapshot(refused);
});

test('a snapshot with a lower version or a wrong digest is refused', t => {
  const {platform, state} = started();
  const document = withSlots(exampleDocument(), 9);
  platform.publishSnapshot(1, document);
  const wrong = {version: 2, digest: '0'.repeat(32), document, author: 'op'};
  platform.publish('snapshot', wrong);
  platform.publishSnapshot(1, exampleDocument());
  platform.publish('unheard-of', {});
  const {accepted, refused} = applyEntries(state, platform.entries);
  t.deepEqual(accepted, []);
  t.snapshot(refused.map(({index, reason}) => ({index, reason})));
});

test('a value that is too large, too deep or no JSON is refused', t => {
  const {state} = started();
  const nest = (depth: number): unknown =>
    depth === 0 ? 1 : {x: nest(depth - 1)};
  const loop: Record<string, unknown> = {};
  Object.assign(loop, {a: loop, b: loop});
  const values = ['x'.repeat(MAX_VALUE_BYTES), nest(5_000), loop, 10n, NaN];
  const entries = values.map((value, i) => {
    return {index: i + 2, prev: i + 1, kind: 'patch', value};
  });
  const {refused} = applyEntries(state, entries);
  t.snapshot(refused.map(({reason}) => reason));
  t.is(state.index, 6);
});

test('the log of entries stays bounded and consecutive', t => {
  const {platform, state} = started();
  for (let i = 0; i < 40; i++) {
    platform.publish('patch', {text: 'x'.repeat(10_000)});
  }
  const at = getPosition(state);
  applyEntries(state, platform.entries);
  const bytes = state.marks.reduce((sum, mark) => sum + mark.bytes, 0);
  t.true(bytes <= LOG_BYTES && state.log.length > 20);
  t.is(findEntriesAfter(state, at), undefined);
  const {index} = state.log[0];
  t.deepEqual(
    findEntriesAfter(state, {...at, index})?.map(entry => entry.prev),
    state.log.slice(1).map(entry => entry.prev),
  );
  t.is(findEntriesAfter(state, {...at, index, digest: 'other'}), undefined);
  platform.publish('patch', 'x'.repeat(LOG_BYTES));
  applyEntries(state, platform.entries);
  t.deepEqual(state.log, []);
});

test('a lost entry stops the fold instead of being skipped', t => {
  const {platform, state} = started();
  const base = platform.version;
  platform.publishPatch(base, withSlots(base.document, 5));
  platform.publishSnapshot(3, withSlots(base.document, 6));
  const {gap} = applyEntries(state, platform.entries.slice(2));
  t.true(gap);
  t.deepEqual(getPosition(state), {
    ...getPosition(state),
    index: 1,
    version: 1,
  });
});

test('only a good snapshot of the source may follow removed entries', t => {
  const {platform, state} = started();
  const {document} = platform.version;
  platform.publish('patch', {});
  platform.publishSnapshot(7, withSlots(document, 7));
  platform.publishSnapshot(6, withSlots(document, 6));
  const [, , good, bad] = platform.entries;
  const fromSource = {fromSource: true};
  t.true(applyEntries(createConfigState(), [good]).gap);
  t.false(applyEntries(createConfigState(), [good], fromSource).gap);
  t.false(applyEntries(state, [good, bad], fromSource).gap);
  t.is(state.current?.version, 7);
  const later = {...bad, index: 9, prev: 8};
  t.true(applyEntries(state, [later], fromSource).gap);
  t.is(state.index, 4);
});

test('a checkpoint moves a daemon forward only', t => {
  const {platform, state} = started();
  const base = platform.version;
  const first = checkpointOf(state);
  platform.publishPatch(base, withSlots(base.document, 5));
  applyEntries(state, platform.entries);
  const second = checkpointOf(state);
  platform.publish('patch', {author: 'x'});
  const third = checkpointOf(platform.reference);
  const fork = createVersion(2, 2, withSlots(base.document, 8));
  const conflict = {...second, digest: fork.digest, document: fork.document};
  const fresh = createConfigState();
  const changed = withSlots(base.document, 6);
  const outcomes = [
    applyCheckpoint(fresh, second),
    applyCheckpoint(fresh, second),
    applyCheckpoint(fresh, first),
    applyCheckpoint(fresh, conflict),
    applyCheckpoint(fresh, {...conflict, version: 3, document: changed}),
    applyCheckpoint(fresh, third),
  ];
  t.deepEqual(outcomes, [
    'applied',
    'same',
    'older',
    'conflict',
    'invalid',
    'applied',
  ]);
  t.deepEqual(getPosition(fresh), getPosition(platform.reference));
  t.deepEqual(fresh.refusals, platform.reference.refusals);
});

test('a checkpoint of a higher version replaces another line', t => {
  const {platform, state} = started();
  for (let i = 0; i < 5; i++) platform.publish('patch', {});
  applyEntries(state, platform.entries);
  const fork = createVersion(2, 3, withSlots(exampleDocument(), 8));
  const other = {...createConfigState(), current: fork, index: 3};
  t.is(applyCheckpoint(state, checkpointOf(other)), 'applied');
  t.deepEqual(getPosition(state), getPosition(other));
});

test('a patch made from two documents leads from one to the other', t => {
  const {state} = started();
  const next = withSlots(exampleDocument(), 9);
  next.routes.r2 = {...next.routes.r1, pathPrefix: '/b'};
  const patch = makePatch(state.current!, next, 'op', 'why');
  const checked = checkPatch(state.current, patch);
  t.is(checked.ok && checked.value.digest, computeDigest(next));
  for (const wrong of [exampleDocument(), {}]) {
    t.throws(() => makePatch(state.current!, wrong, 'op'), {any: true});
  }
});

test('malformed input to the fold or the checks never throws', t => {
  const value = fc.oneof(fc.anything(), fc.jsonValue());
  const fields = {index: value, prev: value, kind: value, value};
  const entry = fc.oneof(value, fc.record(fields, {requiredKeys: []}));
  const op = fc.record({op: value, path: value, from: value, value});
  const ops = fc.array(fc.oneof(op, value));
  fc.assert(
    fc.property(fc.array(entry), ops, value, (items, list, any) => {
      const {state} = started();
      const before = getPosition(state);
      applyEntries(state, items as Entry[]);
      applyEntries(state, any as Entry[]);
      t.deepEqual(getPosition(state), before);
      applyEntries(state, [patchWith(state, list)]);
      applyEntries(state, [{...patchWith(state, []), value: any}]);
      t.is(applyCheckpoint(state, any), 'invalid');
      const msg = {...checkpointOf(state), version: 9, document: any};
      t.is(applyCheckpoint(state, msg), 'invalid');
      t.false(checkDocument(any).ok);
      checkDocument({...exampleDocument(), routes: any});
    }),
    SEED,
  );
});
