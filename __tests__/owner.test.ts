import {install} from '@sinonjs/fake-timers';
import test, {type ExecutionContext} from 'ava';
import {HEADERS, parseHlc, TICK_MS} from '../src/internal.js';
import {
  nextTurn,
  startOwner,
  until,
  type OwnerRig,
  type Reply,
  type Send,
} from './support/owner_rig.js';
import {FLOOD_BYTES, UpstreamFake} from './support/upstream_fake.js';

// Deadlines and probes run on this clock; sockets need the real setImmediate.
const clock = install({toFake: ['setTimeout', 'clearTimeout']});

function ownerTest(
  title: string,
  run: (t: ExecutionContext, rig: OwnerRig, fake: UpstreamFake) => unknown,
): void {
  test.serial(title, async t => {
    const fake = new UpstreamFake();
    await fake.start();
    const rig = await startOwner(clock, fake);
    try {
      await run(t, rig, fake);
    } finally {
      await rig.close();
      await fake.crash();
    }
  });
}

/** Sends a request that the upstream holds, and waits until it is there. */
async function hold(
  rig: OwnerRig,
  id: string,
  options: Send = {},
): Promise<{reply: Promise<Reply>; release: () => unknown}> {
  const reply = rig.send(id, {path: '/hold', ...options});
  await until(() => rig.fake.held.length > 0);
  return {reply, release: rig.fake.held.pop()!};
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

ownerTest('the chain is lost or peer headers leak', async (t, rig, fake) => {
  const hlc = `${Date.now() + 60_000}.7`;
  const options = {body: 'hello', headers: {[HEADERS.hlc]: hlc}};
  const reply = await rig.send('a', {path: '/ok?x=1', ...options});
  t.true(parseHlc(String(reply.headers[HEADERS.hlc]))![1] > 7);
  t.like(reply, {said: '200 ran answered', body: 'answer'});
  t.is(reply.headers[HEADERS.id], 'a');
  t.is(reply.headers[HEADERS.boot], rig.board.self.boot);
  t.regex(String(reply.headers[HEADERS.load]), /^\d+,\d+,\d+,[01]$/);
  const [{path, headers}] = fake.runs('a');
  t.is(path, '/ok?x=1');
  const chain = [HEADERS.deadlineMs, HEADERS.depth, HEADERS.budget];
  t.deepEqual(
    chain.map(name => headers[name]),
    ['5000', '3', '1'],
  );
  t.is(headers['content-length'], '5');
  t.is(headers[HEADERS.auth] ?? headers[HEADERS.fingerprint], undefined);
});

ownerTest('a malformed request runs or harms others', async (t, rig, fake) => {
  const forged = rig.mint('n').replace(/.$/, x => (x === '0' ? '1' : '0'));
  const bad = (name: string, text: string) => ({headers: {[name]: text}});
  const cases: Array<[Send, string]> = [
    [bad(HEADERS.id, 'a b'), '400 not-run bad-request'],
    [bad(HEADERS.auth, 'f'.repeat(64)), '400 not-run bad-request'],
    [bad(HEADERS.deadlineMs, '99999'), '400 not-run bad-request'],
    [{deadlineMs: 'soon'}, '400 not-run bad-request'],
    [{deadlineMs: '-1'}, '400 not-run bad-request'],
    [{deadlineMs: '0'}, '504 not-run deadline-before-send'],
    [bad(HEADERS.depth, '7'), '508 not-run too-deep'],
    [bad(HEADERS.depth, 'deep'), '400 not-run bad-request'],
    [bad(HEADERS.budget, '1e9'), '400 not-run bad-request'],
    [bad(HEADERS.priority, 'vip'), '400 not-run bad-request'],
    [{key: 'chosen by a customer'}, '400 not-run bad-key'],
    [{key: forged}, '400 not-run bad-key'],
    [{body: 'x'.repeat(1_048_577)}, '413 not-run too-large'],
  ];
  const held = await hold(rig, 'held');
  for (const [options, said] of cases) {
    t.is((await rig.send('bad', options)).said, said);
  }
  held.release();
  t.is((await held.reply).body, 'answer');
  t.is(fake.ledger.length, 1);
});

ownerTest('a refusal said as not run was run', async (t, rig, fake) => {
  const seen = new Set<string>();
  const send = async (id: string, options?: Send) => {
    const {said} = await rig.send(id, options);
    t.is(fake.runs(id).length, said.includes('not-run') ? 0 : 1, id);
    seen.add(said);
  };
  const {inForce} = rig.board.config;
  rig.board.config.inForce = undefined;
  await send('early');
  rig.board.config.inForce = inForce;
  // One request of a flood is held until the time of all has passed.
  const flood = Array.from({length: 12}, (_, n) =>
    send(`flood-${n}`, {path: '/hold'}),
  );
  await until(() => rig.owner.readLoad().queued === 11);
  await send('cold', {deadlineMs: '90'});
  clock.tick(5_000);
  await Promise.all(flood);
  t.is(fake.mostRunning, 1);
  await send('shed', {path: '/shed'});
  rig.board.viewStale = true;
  await send('stale');
  rig.board.viewStale = false;
  rig.setDataCentre('out');
  await send('out');
  rig.setDataCentre('in');
  rig.board.self.service = 'stock';
  await send('wrong');
  rig.board.self.service = 'orders';
  await fake.crash();
  await send('down-1');
  await send('down-2');
  t.snapshot([...seen].sort());
});

ownerTest('a repeat of a key gets another answer', async (t, rig, fake) => {
  const options = {key: rig.mint('n1'), print: 'p', path: '/hold'};
  const first = await hold(rig, 'first', options);
  const joined = rig.send('joined', options);
  await until(() => rig.board.counters.has('forward_key_joins'));
  first.release();
  const late = await rig.send('late', options);
  for (const reply of [await first.reply, await joined, late]) {
    t.like(reply, {said: '200 ran answered', body: 'answer'});
  }
  const other = await rig.send('other', {...options, print: 'q'});
  t.is(other.said, '400 not-run bad-key');
  // The same instance as a new process knows nothing of the key.
  const next = await startOwner(clock, fake, 'b'.repeat(16));
  const gone = await next.send('gone', options);
  t.is(gone.said, '409 may-have-run key-owner-gone');
  await next.close();
  t.is(fake.ledger.length, 1);
});

ownerTest('a large, shed or lost keyed run repeats', async (t, rig, fake) => {
  const big = {key: rig.mint('n1'), path: '/big'};
  t.is((await rig.send('big', big)).body.length, 4_000_000);
  t.is((await rig.send('big', big)).said, '409 ran answered');
  const shed = {key: rig.mint('n2'), path: '/shed'};
  t.is((await rig.send('shed', shed)).said, '503 not-run shed');
  const again = await rig.send('shed', {...shed, path: '/ok'});
  t.is(again.said, '200 ran answered');
  const cut = {key: rig.mint('n3'), path: '/cut'};
  t.true((await rig.send('cut', cut)).cut);
  const said = '409 may-have-run key-may-have-run';
  t.is((await rig.send('cut', cut)).said, said);
  const counts = ['big', 'shed', 'cut'].map(id => fake.runs(id).length);
  t.deepEqual(counts, [1, 1, 1]);
});

ownerTest('a cancelled or late request goes on', async (t, rig, fake) => {
  const abort = new AbortController();
  const {signal} = abort;
  const running = await hold(rig, 'running', {signal});
  const queued = rig.send('queued', {signal});
  await until(() => rig.owner.readLoad().queued === 1);
  abort.abort();
  await t.throwsAsync(running.reply, {name: 'AbortError'});
  await t.throwsAsync(queued, {name: 'AbortError'});
  await until(() => fake.runs('running')[0].state === 'cancelled');
  const late = await hold(rig, 'late', {deadlineMs: '300'});
  clock.tick(300);
  t.is((await late.reply).said, '504 may-have-run deadline-after-send');
  await until(() => fake.runs('late')[0].state === 'cancelled');
  t.is(fake.runs('queued').length, 0);
});

ownerTest('a keyed run is cut though a repeat waits', async (t, rig, fake) => {
  const abort = new AbortController();
  const options = {key: rig.mint('n'), path: '/hold'};
  const first = await hold(rig, 'k', {...options, signal: abort.signal});
  const repeat = rig.send('k', options);
  await until(() => rig.board.counters.has('forward_key_joins'));
  abort.abort();
  await t.throwsAsync(first.reply, {name: 'AbortError'});
  // A further round trip lets the owner see the closed connection.
  await rig.send('bad', {deadlineMs: '0'});
  first.release();
  t.is((await repeat).body, 'answer');
  t.is(fake.runs('k').length, 1);
});

ownerTest('a crash goes unreported, or is warm after', async (t, rig, fake) => {
  await warm(rig);
  const both = ['a', 'b'].map(id => rig.send(id, {path: '/hold'}));
  await until(() => fake.held.length === 2);
  await fake.crash();
  for (const {said} of await Promise.all(both)) {
    t.is(said, '502 may-have-run upstream-crashed');
  }
  t.deepEqual(
    rig.crashes.map(fingerprints => fingerprints.length),
    [2],
  );
  t.false(rig.owner.isReady());
  t.is((await rig.send('down')).said, '503 not-run upstream-down');
  await fake.start();
  while (!rig.owner.isReady()) {
    clock.tick(TICK_MS);
    await nextTurn();
  }
  t.like(rig.owner.readLoad(), {limit: 1, inFlight: 0});
  t.is((await rig.send('back')).status, 200);
});

ownerTest(
  'one reset passes for a crash or is retried',
  async (t, rig, fake) => {
    const reset = await rig.send('reset', {path: '/reset'});
    t.is(reset.said, '502 may-have-run connection-broken');
    t.true((await rig.send('cut', {path: '/cut'})).cut);
    t.is(fake.ledger.length, 2);
    t.deepEqual(rig.crashes, []);
    t.true(rig.owner.isReady());
  },
);

for (const path of ['/chunks', '/unframed']) {
  for (const cut of [true, false]) {
    const title = cut ? 'cut body looks whole' : 'whole body looks cut';
    ownerTest(`a ${title}: ${path}`, async (t, rig, fake) => {
      let begun = false;
      const reply = rig.send('x', {path, onData: () => (begun = true)});
      await until(() => begun);
      if (cut) await fake.crash();
      else fake.held.pop()!();
      t.like(await reply, {status: 200, cut});
    });
  }
}

ownerTest('a slow customer fills the memory', async (t, rig, fake) => {
  let resume = () => {};
  const pause = new Promise<void>(resolve => (resume = resolve));
  const reply = rig.send('slow', {path: '/flood', pause});
  let still = 0;
  for (let last = 0; still < 500; last = fake.flooded) {
    await nextTurn();
    still = last > 0 && last === fake.flooded ? still + 1 : 0;
  }
  t.true(fake.flooded < FLOOD_BYTES);
  resume();
  const {body, cut} = await reply;
  t.deepEqual([body.length, cut], [FLOOD_BYTES, false]);
});

ownerTest('a stop cuts work or takes new work', async (t, rig, fake) => {
  await warm(rig);
  const priority = {[HEADERS.priority]: 'download'};
  const download = rig.send('d', {path: '/chunks', headers: priority});
  const ids = ['1', '2', '3', '4', '5', '6'];
  const held = ids.map(id => rig.send(id, {path: '/hold'}));
  await until(() => rig.owner.readLoad().queued === 1);
  let stopped = false;
  const stop = rig.owner.stop().then(() => (stopped = true));
  t.is((await rig.send('new')).said, '503 not-run leaving');
  t.false(stopped);
  while (rig.owner.readLoad().inFlight > 0) {
    fake.held.shift()?.();
    await nextTurn();
  }
  t.like(await download, {body: 'partrest', cut: false});
  const replies = await Promise.all(held);
  t.true(replies.every(reply => reply.body === 'answer'));
  await stop;
});

ownerTest('a stop waits for ever for a silent upstream', async (t, rig) => {
  const {reply} = await hold(rig, 'held');
  const stop = rig.owner.stop();
  clock.tick(5_000);
  t.is((await reply).status, 504);
  await stop;
});

ownerTest('a return or a stall goes unnoticed', async (t, rig) => {
  await warm(rig);
  t.is(rig.owner.readLoad().limit, 6);
  t.is(rig.board.counters.get('forward_answered'), 30);
  for (const state of ['out', 'in'] as const) {
    rig.setDataCentre(state);
    rig.owner.tick(clock.now);
  }
  t.is(rig.owner.readLoad().limit, 1);
  const held = await hold(rig, 'held', {deadlineMs: '60000'});
  clock.tick(10_000);
  rig.owner.tick(clock.now);
  t.false(rig.owner.isReady());
  const hint = await rig.send('late', {deadlineMs: '0'});
  t.regex(String(hint.headers[HEADERS.load]), /^0,1,/);
  held.release();
  t.is((await held.reply).status, 200);
  t.true(rig.owner.isReady());
  const kinds = rig.board.timeline.events.map(event => event.kind);
  t.deepEqual(kinds, ['limitChanged', 'upstreamCold', 'upstreamStalled']);
});
