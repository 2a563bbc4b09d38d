import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import {HEADERS, parseHlc, TICK_MS} from '../src/internal.js';
import {
  startOwner,
  until,
  type OwnerRig,
  type Reply,
} from './support/owner_rig.js';
import {FLOOD_BYTES, UpstreamFake} from './support/upstream_fake.js';

// Deadlines and probes run on this clock; sockets need the real setImmediate.
const clock = install({toFake: ['setTimeout', 'clearTimeout']});

async function withOwner(run: (rig: OwnerRig) => Promise<void>): Promise<void> {
  const fake = new UpstreamFake();
  await fake.start();
  const rig = await startOwner(clock, fake);
  try {
    await run(rig);
  } finally {
    await rig.close();
    await fake.crash();
  }
}

/** Keeps the limit fully used until it has reached the slots. */
async function warm(rig: OwnerRig): Promise<void> {
  const ids = Array.from({length: 30}, (_, n) => `warm-${n}`);
  const all = Promise.all(ids.map(id => rig.send(id, {path: '/hold'})));
  for (let left = ids.length; left > 0;) {
    const full = () => Math.min(left, rig.owner.readLoad().limit);
    await until(() => rig.fake.held.length >= full());
    const batch = rig.fake.held.splice(0);
    for (const release of batch) release();
    left -= batch.length;
  }
  await all;
}

const verdictOf = (reply: Reply) => [
  reply.status,
  reply.headers[HEADERS.verdict],
  reply.headers[HEADERS.reason],
];

test.serial('the chain is lost or peer headers reach the upstream', t =>
  withOwner(async rig => {
    const hlc = `${Date.now() + 60_000}.7`;
    const options = {body: 'hello', headers: {[HEADERS.hlc]: hlc}};
    const reply = await rig.send('a', {path: '/ok?x=1', ...options});
    t.true(parseHlc(String(reply.headers[HEADERS.hlc]))![1] > 7);
    t.deepEqual(verdictOf(reply), [200, 'ran', 'answered']);
    t.is(reply.body, 'answer');
    t.is(reply.headers[HEADERS.id], 'a');
    t.is(reply.headers[HEADERS.boot], 'a'.repeat(16));
    t.regex(String(reply.headers[HEADERS.load]), /^\d+,\d+,\d+,[01]$/);
    const [{path, headers}] = rig.fake.runs('a');
    t.is(path, '/ok?x=1');
    t.like(headers, {
      [HEADERS.deadlineMs]: '5000',
      [HEADERS.depth]: '3',
      [HEADERS.budget]: '1',
      'content-length': '5',
    });
    t.is(headers[HEADERS.auth] ?? headers[HEADERS.fingerprint], undefined);
  }),
);

test.serial('a malformed request is run or harms others', t =>
  withOwner(async rig => {
    const expired = rig.mint('n').replace(/.$/, x => (x === '0' ? '1' : '0'));
    const cases = [
      [{headers: {[HEADERS.id]: 'a b'}}, 'bad-request'],
      [{headers: {[HEADERS.auth]: 'f'.repeat(64)}}, 'bad-request'],
      [{headers: {[HEADERS.deadlineMs]: '99999'}}, 'bad-request'],
      [{deadlineMs: 'soon'}, 'bad-request'],
      [{deadlineMs: '-1'}, 'bad-request'],
      [{deadlineMs: '0'}, 'deadline-before-send'],
      [{headers: {[HEADERS.depth]: '7'}}, 'too-deep'],
      [{headers: {[HEADERS.depth]: 'deep'}}, 'bad-request'],
      [{headers: {[HEADERS.budget]: '1e9'}}, 'bad-request'],
      [{headers: {[HEADERS.priority]: 'vip'}}, 'bad-request'],
      [{key: 'chosen by a customer'}, 'bad-key'],
      [{key: expired}, 'bad-key'],
      [{body: 'x'.repeat(1_048_577)}, 'too-large'],
    ] as const;
    const held = rig.send('held', {path: '/hold'});
    await until(() => rig.fake.held.length === 1);
    for (const [options, reason] of cases) {
      const reply = await rig.send('bad', options);
      t.deepEqual(verdictOf(reply).slice(1), ['not-run', reason]);
    }
    rig.fake.held.pop()!();
    t.is((await held).body, 'answer');
    t.is(rig.fake.ledger.length, 1);
  }),
);

test.serial('a refusal said as not run was run', t =>
  withOwner(async rig => {
    const seen = new Set<unknown>();
    const audit = (id: string, reply: Reply) => {
      const [, verdict, reason] = verdictOf(reply);
      t.is(rig.fake.runs(id).length, verdict === 'not-run' ? 0 : 1, id);
      seen.add(reason);
    };
    const {inForce} = rig.board.config;
    rig.board.config.inForce = undefined;
    audit('early', await rig.send('early'));
    rig.board.config.inForce = inForce;
    const ids = Array.from({length: 12}, (_, n) => `flood-${n}`);
    // One of a cold upstream's requests is held while the others' time ends.
    const flood = ids.map(id => rig.send(id, {path: '/hold'}));
    await until(() => rig.owner.readLoad().queued === 11);
    audit('cold', await rig.send('cold', {deadlineMs: '90'}));
    clock.tick(5_000);
    const replies = await Promise.all(flood);
    replies.forEach((reply, n) => audit(ids[n], reply));
    t.is(rig.fake.mostRunning, 1);
    audit('shed', await rig.send('shed', {path: '/shed'}));
    rig.board.viewStale = true;
    audit('stale', await rig.send('stale'));
    rig.board.viewStale = false;
    rig.setDataCentre('out');
    audit('out', await rig.send('out'));
    rig.setDataCentre('in');
    rig.board.self.service = 'stock';
    audit('wrong', await rig.send('wrong'));
    rig.board.self.service = 'orders';
    await rig.fake.crash();
    audit('down-1', await rig.send('down-1'));
    audit('down-2', await rig.send('down-2'));
    t.snapshot([...seen].sort());
  }),
);

test.serial('a key runs twice, or a repeat gets another answer', t =>
  withOwner(async rig => {
    await warm(rig);
    const key = rig.mint('n1');
    const options = {key, path: '/hold'};
    const first = rig.send('k1', options);
    await until(() => rig.fake.held.length === 1);
    const joined = rig.send('k1', options);
    await until(() => rig.fake.held.length === 1);
    rig.fake.held.pop()!();
    const replies = [await first, await joined, await rig.send('k1', options)];
    for (const reply of replies) {
      t.deepEqual(verdictOf(reply), [200, 'ran', 'answered']);
      t.is(reply.body, 'answer');
    }
    t.is(rig.fake.runs('k1').length, 1);
    const other = await rig.send('k2', options);
    t.deepEqual(verdictOf(other), [400, 'not-run', 'bad-key']);
    // The same instance as a new process knows nothing of the key.
    const next = await startOwner(clock, rig.fake, 'b'.repeat(16));
    const late = await next.send('k1', options);
    t.deepEqual(verdictOf(late), [409, 'may-have-run', 'key-owner-gone']);
    await next.close();
    t.is(rig.fake.runs('k1').length, 1);
  }),
);

test.serial('a large, shed or lost keyed run is repeated or misreported', t =>
  withOwner(async rig => {
    const big = {key: rig.mint('n1'), path: '/big'};
    t.is((await rig.send('big', big)).body.length, 4_000_000);
    const repeat = await rig.send('big', big);
    t.deepEqual(verdictOf(repeat), [409, 'ran', 'answered']);
    const shed = {key: rig.mint('n2'), path: '/shed'};
    t.is((await rig.send('shed', shed)).headers[HEADERS.verdict], 'not-run');
    const again = {...shed, path: '/ok'};
    t.deepEqual(verdictOf(await rig.send('shed', again))[1], 'ran');
    const cut = {key: rig.mint('n3'), path: '/cut'};
    t.true((await rig.send('cut', cut)).cut);
    t.deepEqual(verdictOf(await rig.send('cut', cut)), [
      409,
      'may-have-run',
      'key-may-have-run',
    ]);
    const counts = ['big', 'shed', 'cut'].map(id => rig.fake.runs(id).length);
    t.deepEqual(counts, [1, 1, 1]);
  }),
);

test.serial('a cancelled or late request goes on at the upstream', t =>
  withOwner(async rig => {
    const abort = new AbortController();
    const options = {path: '/hold', signal: abort.signal};
    const running = rig.send('running', options);
    await until(() => rig.fake.held.length === 1);
    const queued = rig.send('queued', options);
    await until(() => rig.owner.readLoad().queued === 1);
    abort.abort();
    await t.throwsAsync(running, {name: 'AbortError'});
    await t.throwsAsync(queued, {name: 'AbortError'});
    await until(() => rig.fake.ledger[0].state === 'cancelled');
    const late = rig.send('late', {path: '/hold', deadlineMs: '300'});
    await until(() => rig.fake.held.length === 2);
    clock.tick(300);
    t.deepEqual(verdictOf(await late), [
      504,
      'may-have-run',
      'deadline-after-send',
    ]);
    await until(() => rig.fake.runs('late')[0].state === 'cancelled');
    t.is(rig.fake.runs('queued').length, 0);
    // The pending work of the fake must not count for the next test.
    t.is(rig.owner.readLoad().inFlight, 0);
  }),
);

test.serial('a keyed run is cut while a repeat waits for its answer', t =>
  withOwner(async rig => {
    const abort = new AbortController();
    const options = {key: rig.mint('n'), path: '/hold'};
    const first = rig.send('k', {...options, signal: abort.signal});
    await until(() => rig.fake.held.length === 1);
    const repeat = rig.send('k', options);
    await until(() => (rig.board.counters.get('forward_key_joins') ?? 0) === 1);
    abort.abort();
    await t.throwsAsync(first, {name: 'AbortError'});
    await rig.send('bad', {deadlineMs: '0'});
    rig.fake.held.pop()!();
    t.is((await repeat).body, 'answer');
    t.is(rig.fake.runs('k').length, 1);
  }),
);

test.serial('a crash goes unreported or the upstream returns warm', t =>
  withOwner(async rig => {
    await warm(rig);
    const both = ['crash-1', 'crash-2'].map(id =>
      rig.send(id, {path: '/hold'}),
    );
    await until(() => rig.fake.held.length === 2);
    await rig.fake.crash();
    for (const reply of await Promise.all(both)) {
      t.deepEqual(verdictOf(reply), [502, 'may-have-run', 'upstream-crashed']);
    }
    t.is(rig.crashes.length, 1);
    t.is(rig.crashes[0].length, 2);
    t.false(rig.owner.isReady());
    const refused = await rig.send('refused');
    t.deepEqual(verdictOf(refused), [503, 'not-run', 'upstream-down']);
    await rig.fake.start();
    while (!rig.owner.isReady()) {
      clock.tick(TICK_MS);
      await new Promise(resolve => setImmediate(resolve));
    }
    t.like(rig.owner.readLoad(), {limit: 1, inFlight: 0});
    t.is((await rig.send('back')).status, 200);
  }),
);

test.serial('one broken connection is taken for a crash, or is retried', t =>
  withOwner(async rig => {
    for (const id of ['cut', 'reset']) {
      const reply = await rig.send(id, {path: `/${id}`});
      t.is(rig.fake.runs(id).length, 1);
      t.true(
        reply.cut || reply.headers[HEADERS.reason] === 'connection-broken',
      );
    }
    t.deepEqual(rig.crashes, []);
    t.true(rig.owner.isReady());
  }),
);

for (const path of ['/chunks', '/unframed']) {
  test.serial(`a body cut by a crash looks whole: ${path}`, t =>
    withOwner(async rig => {
      let begun = false;
      const reply = rig.send('cut', {path, onData: () => (begun = true)});
      await until(() => begun);
      await rig.fake.crash();
      t.like(await reply, {status: 200, body: 'part', cut: true});
    }),
  );
}

test.serial('a whole body without a length is taken for a cut one', t =>
  withOwner(async rig => {
    const reply = rig.send('whole', {path: '/unframed'});
    await until(() => rig.fake.held.length === 1);
    rig.fake.held.pop()!();
    t.like(await reply, {status: 200, body: 'part', cut: false});
  }),
);

test.serial('a customer who reads slowly fills the memory', t =>
  withOwner(async rig => {
    let resume = () => {};
    const pause = new Promise<void>(resolve => (resume = resolve));
    const reply = rig.send('slow', {path: '/flood', pause});
    let still = 0;
    for (let last = 0; still < 500; last = rig.fake.flooded) {
      await new Promise(resolve => setImmediate(resolve));
      still = last > 0 && last === rig.fake.flooded ? still + 1 : 0;
    }
    t.true(rig.fake.flooded < FLOOD_BYTES);
    resume();
    const {body, cut} = await reply;
    t.deepEqual([body.length, cut], [FLOOD_BYTES, false]);
  }),
);

test.serial('a stop cuts running work or takes new work', t =>
  withOwner(async rig => {
    await warm(rig);
    let begun = false;
    const download = rig.send('download', {
      path: '/chunks',
      headers: {[HEADERS.priority]: 'download'},
      onData: () => (begun = true),
    });
    await until(() => begun);
    const held = [1, 2, 3, 4, 5, 6].map(n =>
      rig.send(`held-${n}`, {path: '/hold'}),
    );
    await until(() => rig.owner.readLoad().queued === 1);
    let stopped = false;
    const stop = rig.owner.stop().then(() => (stopped = true));
    const refused = await rig.send('new');
    t.deepEqual(verdictOf(refused), [503, 'not-run', 'leaving']);
    t.false(stopped);
    while (rig.owner.readLoad().inFlight > 0) {
      rig.fake.held.shift()?.();
      await new Promise(resolve => setImmediate(resolve));
    }
    t.like(await download, {body: 'partrest', cut: false});
    const replies = await Promise.all(held);
    t.true(replies.every(reply => reply.body === 'answer'));
    await stop;
  }),
);

test.serial('a stop waits for ever for an upstream that never answers', t =>
  withOwner(async rig => {
    const held = rig.send('held', {path: '/hold'});
    await until(() => rig.fake.held.length === 1);
    const stop = rig.owner.stop();
    clock.tick(5_000);
    t.is((await held).status, 504);
    await stop;
    t.pass();
  }),
);

test.serial('a data centre brought back or a stall goes unnoticed', t =>
  withOwner(async rig => {
    await warm(rig);
    t.is(rig.owner.readLoad().limit, 6);
    rig.setDataCentre('out');
    rig.owner.tick(clock.now);
    rig.setDataCentre('in');
    rig.owner.tick(clock.now);
    t.is(rig.owner.readLoad().limit, 1);
    const held = rig.send('held', {path: '/hold', deadlineMs: '60000'});
    await until(() => rig.fake.held.length === 1);
    clock.tick(10_000);
    rig.owner.tick(clock.now);
    t.false(rig.owner.isReady());
    t.is(rig.board.counters.get('upstream_stalls'), 1);
    const hint = (await rig.send('late', {deadlineMs: '0'})).headers;
    t.regex(String(hint[HEADERS.load]), /^0,1,/);
    rig.fake.held.pop()!();
    t.is((await held).status, 200);
    t.true(rig.owner.isReady());
    const kinds = rig.board.timeline.events.map(event => event.kind);
    t.true(kinds.includes('upstreamStalled') && kinds.includes('upstreamCold'));
  }),
);
