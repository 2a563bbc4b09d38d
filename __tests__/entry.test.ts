import http from 'node:http';
import test from 'ava';
import FakeTimers from '@sinonjs/fake-timers';
import {
  EJECT_AFTER,
  type EventDetail,
  type MemberRecord,
} from '../src/internal.js';
import {
  call,
  createDocument,
  createKey,
  linkEntries,
  setDocument,
  startEntry,
  startOwner,
  until,
  type EntryHarness,
  type OwnerFake,
  type Run,
  type Step,
} from './support/owner_fake.js';

interface Fleet {
  ledger: Run[];
  owners: OwnerFake[];
  entry: EntryHarness;
  stop(): Promise<void>;
}

async function startFleet(
  records: Array<Partial<MemberRecord>>,
  step: Step = 'answer',
): Promise<Fleet> {
  const ledger: Run[] = [];
  const owners = await Promise.all(
    records.map((record, i) => startOwner(ledger, {id: `u${i}`, ...record})),
  );
  for (const owner of owners) owner.step = () => step;
  const entry = await startEntry(owners.map(owner => owner.record));
  const stop = async () => {
    await entry.stop();
    await Promise.all(owners.map(owner => owner.stop()));
  };
  return {ledger, owners, entry, stop};
}

function book(entry: EntryHarness, label: string, key?: string) {
  const headers: Record<string, string> = {'x-label': label};
  if (key) headers['idempotency-key'] = key;
  return call(entry.port, 'POST', '/book', {headers, body: label});
}

function read(entry: EntryHarness, label: string) {
  return call(entry.port, 'GET', `/read/${label}`, {
    headers: {'x-label': label},
  });
}

test('a refused connection is retried elsewhere and ejects its upstream', async t => {
  const {entry, owners, ledger, stop} = await startFleet([{}, {}]);
  await owners[0].stop();
  for (let i = 0; i < 40; i++) t.is((await book(entry, `${i}`)).status, 200);
  t.is(ledger.length, 40);
  const kinds = entry.board.timeline.events.map(event => event.kind);
  t.deepEqual(kinds, ['ejected']);
  t.is(entry.board.counters.get('entry_retries'), EJECT_AFTER);
  await owners[0].start();
  entry.now = 60_000;
  for (let i = 0; i < 40; i++) await book(entry, `again ${i}`);
  t.true(owners[0].seen.length > 0);
  t.is(entry.board.timeline.events.at(-1)?.kind, 'readmitted');
  await owners[0].start().catch(() => {});
  await stop();
});

test('a booking that may have run is not resent, a read is', async t => {
  for (const step of ['resetAfter', 'resetBefore', 'crossed'] as const) {
    const {entry, owners, stop} = await startFleet([{}, {}], step);
    const reply = await book(entry, 'booking');
    t.is(`${reply.status} ${reply.verdict}`, '502 may-have-run', step);
    const countSent = () =>
      owners.reduce((sum, owner) => sum + owner.seen.length, 0);
    t.is(countSent(), 1, step);
    t.is((await read(entry, 'r')).verdict, 'may-have-run');
    t.is(countSent(), 3, step);
    await stop();
  }
});

test('a response to another request never reaches the customer', async t => {
  const {entry, stop} = await startFleet([{}], 'crossed');
  const reply = await book(entry, 'mine');
  t.is(reply.reason, 'crossed-answer');
  t.notRegex(reply.body, /answer to/);
  await stop();
});

test('a truncated response closes the connection of the customer', async t => {
  const {entry, stop} = await startFleet([{}, {}], 'cut');
  const reply = await read(entry, 'r');
  t.is(reply.status, 0);
  t.is(entry.board.counters.get('entry_answers_cut'), 1);
  await until(() => entry.entry.countRunning() === 0);
  await stop();
});

test('a refused retry does not hide that the first attempt may have run', async t => {
  const {entry, owners, stop} = await startFleet([{}, {}, {}]);
  let isFirst = true;
  for (const owner of owners) {
    owner.step = () => {
      const step = isFirst ? 'resetAfter' : 'full';
      isFirst = false;
      return step;
    };
  }
  const reply = await read(entry, 'r');
  t.is(`${reply.reason} ${reply.verdict}`, 'connection-broken may-have-run');
  await stop();
});

test('a retry budget of two bounds the attempts and only decreases', async t => {
  const {entry, owners, stop} = await startFleet(Array(5).fill({}), 'full');
  const reply = await book(entry, 'b');
  t.is(`${reply.status} ${reply.reason} ${reply.verdict}`, '503 full not-run');
  t.is(reply.headers['retry-after'], '1');
  const seen = owners.flatMap(owner => owner.seen);
  const budgets = seen.map(({headers}) => headers['berylbend-budget']);
  t.deepEqual(budgets.sort(), ['0', '1', '2']);
  const headers = {'berylbend-budget': '0'};
  await call(entry.port, 'POST', '/book', {headers});
  t.is(owners.flatMap(owner => owner.seen).length, 4);
  await stop();
});

test('a data centre that is out gets no requests', async t => {
  const {entry, owners, stop} = await startFleet([
    {dataCentre: 'dc-a'},
    {dataCentre: 'dc-b'},
  ]);
  await read(entry, 'before');
  t.is(owners[0].seen.length, 1, 'the nearest one');
  setDocument(entry.board, 2, createDocument(['dc-a']));
  for (let i = 0; i < 10; i++) t.is((await read(entry, 'r')).status, 200);
  t.is(owners[0].seen.length, 1);
  t.is(owners[1].seen[0].headers['berylbend-version'], '2');
  // With every data centre out no request may run.
  setDocument(entry.board, 3, createDocument(['dc-a', 'dc-b']));
  t.is((await read(entry, 'r')).reason, 'no-upstream');
  await stop();
});

test('a request keeps its configuration version when another comes into force', async t => {
  const {entry, owners, stop} = await startFleet([
    {dataCentre: 'dc-a'},
    {dataCentre: 'dc-a'},
  ]);
  for (const owner of owners) {
    owner.step = ({headers}) => {
      setDocument(entry.board, 2, createDocument(['dc-a']));
      return headers['berylbend-budget'] === '2' ? 'full' : 'answer';
    };
  }
  t.is((await read(entry, 'r')).status, 200);
  const seen = owners.flatMap(owner => owner.seen);
  t.deepEqual(
    seen.map(({headers}) => headers['berylbend-version']),
    ['1', '1'],
  );
  await stop();
});

test('a request with a bound key is sent only to the owner, even a full one', async t => {
  const {entry, owners, stop} = await startFleet([{}, {}]);
  const key = createKey('u1');
  for (let i = 0; i < 10; i++) t.is((await book(entry, 'k', key)).status, 200);
  t.is(owners[0].seen.length, 0);
  owners[1].step = () => 'full';
  const full = await book(entry, 'k', key);
  t.is(`${full.reason} ${full.verdict}`, 'full not-run', 'from the owner');
  t.is(owners[0].seen.length, 0);
  await stop();
});

test('a request with a bound key may have run unless its owner denies it', async t => {
  const {entry, owners, stop} = await startFleet([{}, {}]);
  const reasons: string[] = [];
  const send = async (key: string, path = '/book') => {
    const headers = {'idempotency-key': key};
    const reply = await call(entry.port, 'POST', path, {headers});
    t.is(reply.verdict, 'may-have-run', reply.reason);
    reasons.push(reply.reason);
  };
  await send(createKey('unknown'));
  await send(createKey('u1'), '/moved');
  await owners[1].stop();
  await send(createKey('u1'));
  entry.board.viewStale = true;
  await send(createKey('u1'));
  t.deepEqual(reasons, [
    'key-owner-gone',
    'key-may-have-run',
    'key-owner-gone',
    'key-may-have-run',
  ]);
  t.is(owners[0].seen.length, 0);
  await owners[1].start();
  await stop();
});

test('a customer who disconnects cancels the forwarded request', async t => {
  let closed = false;
  const {entry, owners, stop} = await startFleet([{}, {}]);
  for (const owner of owners) {
    owner.step = () => res => {
      res.on('close', () => (closed = true));
    };
  }
  const req = http.request({port: entry.port, path: '/read', agent: false});
  req.on('error', () => {});
  req.end();
  await until(() => owners.some(owner => owner.seen.length > 0));
  req.destroy();
  await until(() => closed);
  t.is(owners.flatMap(owner => owner.seen).length, 1, 'no retry');
  t.is(entry.board.counters.get('entry_cancelled'), 1);
  await stop();
});

test('a slow customer pauses the response instead of filling memory', async t => {
  const chunk = Buffer.alloc(65_536);
  const total = 1_024;
  let written = 0;
  const {entry, owners, stop} = await startFleet([{}]);
  owners[0].step = ({headers}) => {
    const id = String(headers['berylbend-id']);
    return res => {
      res.writeHead(200, {'berylbend-id': id, 'berylbend-verdict': 'ran'});
      const writeChunks = () => {
        while (written < total) {
          written++;
          if (!res.write(chunk)) return void res.once('drain', writeChunks);
        }
        res.end();
      };
      writeChunks();
    };
  };
  const req = http.request({port: entry.port, path: '/read', agent: false});
  req.end();
  const res = await new Promise<http.IncomingMessage>(resolve => {
    req.on('response', resolve);
  });
  res.pause();
  // The buffers on the path fill up; then nothing more is written.
  let before = -1;
  while (before !== written) {
    before = written;
    for (let i = 0; i < 2_000; i++) await new Promise(r => setImmediate(r));
  }
  t.true(written < total, `${written} of ${total} chunks`);
  let size = 0;
  res.on('data', (data: Buffer) => (size += data.length));
  res.resume();
  await new Promise(resolve => res.on('end', resolve));
  t.is(size, total * chunk.length, 'the complete response arrives');
  await stop();
});

test('a stopping entry finishes its requests and refuses new ones', async t => {
  const {entry, owners, stop} = await startFleet([{}]);
  let finish = () => {};
  owners[0].step = ({headers}) => {
    const id = String(headers['berylbend-id']);
    return res => {
      finish = () => {
        res.writeHead(200, {'berylbend-id': id, 'berylbend-verdict': 'ran'});
        res.end('late');
      };
    };
  };
  const running = read(entry, 'r');
  await until(() => owners[0].seen.length > 0);
  const stopped = stop();
  const refused = await read(entry, 'new');
  t.is(`${refused.reason} ${refused.verdict}`, 'leaving not-run');
  finish();
  t.is((await running).body, 'late');
  await stopped;
});

test('a refusal on the time line names the request, upstream and version', async t => {
  const {entry, stop} = await startFleet([{}], 'cold');
  const reply = await read(entry, 'r');
  const event = entry.board.timeline.events.find(e => e.kind === 'refused');
  const expected: EventDetail = {
    request: String(reply.headers['berylbend-id']),
    reason: 'cold',
    verdict: 'notRun',
    route: 'read',
    upstream: 'u0',
    version: 1,
  };
  t.deepEqual(event?.detail, expected);
  await stop();
});

test.serial(
  'a suspect request waits for a running copy and is cleared when it ends',
  async t => {
    const clock = FakeTimers.install({toFake: ['setTimeout', 'clearTimeout']});
    const {entry, owners, stop} = await startFleet([{}, {}]);
    const finishCallbacks: Array<() => void> = [];
    for (const owner of owners) {
      owner.step = ({headers}) => {
        const id = String(headers['berylbend-id']);
        return res => {
          finishCallbacks.push(() => {
            res.writeHead(200, {
              'berylbend-id': id,
              'berylbend-verdict': 'ran',
            });
            res.end('done');
          });
        };
      };
    }
    // One copy crashes an upstream, which makes the fingerprint a suspect.
    const steps = owners.map(owner => owner.step);
    owners.forEach(owner => (owner.step = () => 'upstreamCrashed'));
    const headers = {'berylbend-budget': '0'};
    await call(entry.port, 'GET', '/read/s', {headers});
    owners.forEach((owner, i) => (owner.step = steps[i]));
    const copies = [read(entry, 's'), read(entry, 's'), read(entry, 's')];
    await until(
      () => entry.entry.countRunning() === 3 && finishCallbacks.length > 0,
    );
    t.is(finishCallbacks.length, 1, 'one upstream at a time');
    finishCallbacks[0]();
    await Promise.race(copies);
    clock.tick(20);
    await until(() => finishCallbacks.length === 3);
    finishCallbacks.slice(1).forEach(end => end());
    for (const copy of copies) t.is((await copy).status, 200);
    clock.uninstall();
    await stop();
  },
);

test('after two crashes all entries refuse the request and no other', async t => {
  const {entry, owners, ledger, stop} = await startFleet(Array(5).fill({}));
  const records = owners.map(owner => owner.record);
  const other = await startEntry(records, {id: 'entry-2', seed: 2});
  linkEntries([entry, other]);
  for (const owner of owners) {
    owner.step = ({label}) => (label === 'poison' ? 'crash' : 'answer');
  }
  const first = await read(entry, 'poison');
  t.is(`${first.status} ${first.verdict}`, '502 may-have-run');
  const again = await read(other, 'poison');
  t.is(`${again.reason} ${again.verdict}`, 'suspect-held not-run');
  t.is(again.headers['retry-after'], '60');
  t.is(ledger.length, 2, 'the first attempt and its retry');
  t.is((await read(other, 'fine')).status, 200);
  await other.stop();
  await stop();
});

test.serial('a refusal is not retried without time to respond', async t => {
  const clock = FakeTimers.install({toFake: ['setTimeout', 'clearTimeout']});
  const {entry, owners, stop} = await startFleet([{}, {}], 'full');
  const send = async (deadlineMs: string) => {
    const headers = {'berylbend-deadline-ms': deadlineMs};
    const before = owners[0].seen.length + owners[1].seen.length;
    const {verdict} = await call(entry.port, 'GET', '/read', {headers});
    t.is(verdict, 'not-run');
    return owners[0].seen.length + owners[1].seen.length - before;
  };
  // The service has an expected response time of 50 ms.
  t.is(await send('54'), 1);
  t.is(await send('500'), 2);
  clock.uninstall();
  await stop();
});

test.serial('a passed deadline reports whether a byte was sent', async t => {
  const clock = FakeTimers.install({toFake: ['setTimeout', 'clearTimeout']});
  const {entry, owners, stop} = await startFleet([{}], () => {});
  const sent = read(entry, 'sent');
  await until(() => owners[0].seen.length > 0);
  clock.tick(10_000);
  const reply = await sent;
  t.is(`${reply.status} ${reply.reason}`, '504 deadline-after-send');
  t.is(reply.verdict, 'may-have-run');
  const headers = {'berylbend-deadline-ms': '50'};
  const short = call(entry.port, 'GET', '/read', {headers});
  await until(() => owners[0].seen.length > 1);
  // A margin of a tenth lets the report of the owner arrive in time.
  t.is(owners[0].seen[1].headers['berylbend-deadline-ms'], '45');
  clock.tick(50);
  t.is((await short).reason, 'deadline-after-send');
  clock.uninstall();
  await stop();
});
