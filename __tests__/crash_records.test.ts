import test, {type ExecutionContext} from 'ava';
import {
  classifyRequest,
  computeFingerprint,
  getOrCreateContact,
  MAX_COPY_AGE_MS,
  readSuspectRecord,
  recordCrashes,
} from '../src/internal.js';
import type {SidecarBoard} from '../src/sidecar/board.js';
import {
  CRASH_PATH,
  createCrashRecords,
  refreshCrashRecords,
} from '../src/sidecar/crash_records.js';
import {type HttpClient, createHttpClient} from '../src/sidecar/http_client.js';
import {startHarness, until} from './support/sidecar_harness.js';

// Each daemon holds the crashes of requests in its memory. One that had been
// restarted, or had missed the reports, let such a request through again, and
// it crashed two more upstreams (BUDGET, review/8).

const POISON = {path: '/book/7', method: 'POST', body: 'lot 31'};
const FP = computeFingerprint('POST s', POISON.path, Buffer.from(POISON.body));

/** Two crashes: a request is refused after them. */
const CRASHES = [
  {upstream: 'u8', ageMs: 5_000},
  {upstream: 'u9', ageMs: 1_000},
].map(crash => ({fingerprint: FP, service: 's', crashes: 1, ...crash}));

function recordBoth({suspects, now}: SidecarBoard): void {
  recordCrashes(suspects, CRASHES, now());
}

function readCrashes({suspects, now}: SidecarBoard): number {
  return readSuspectRecord(suspects, FP, now())?.crashes ?? 0;
}

test.serial('a restarted daemon refuses what crashed upstreams', async t => {
  const harness = await startHarness(t, ['dc1', 'dc1', 'dc2']);
  for (const {board} of harness.sidecars) recordBoth(board);
  const {board} = await harness.restart(2);
  const answer = await harness.send(2, POISON);
  t.is(answer.status, 503);
  t.is(readCrashes(board), 2);
  t.deepEqual(
    harness.upstreams.flatMap(({runs}) => runs),
    [],
  );
  // Others are served.
  t.is((await harness.send(2, {...POISON, body: 'lot 32'})).status, 200);
});

test.serial('all daemons but one are restarted, one after another', async t => {
  const harness = await startHarness(t, ['dc1', 'dc1', 'dc2']);
  recordBoth(harness.sidecars[2].board);
  for (const index of [0, 1]) {
    await harness.restart(index);
    t.is((await harness.send(index, POISON)).status, 503);
  }
  // The last one that saw the crashes itself is gone now.
  await harness.restart(2);
  t.is((await harness.send(2, POISON)).status, 503);
});

test.serial('a daemon serves when nobody answers, and asks again', async t => {
  const harness = await startHarness(t, ['dc1', 'dc1']);
  recordBoth(harness.sidecars[1].board);
  const peer = harness.sidecars[1].board;
  await harness.kill(1);
  const {board} = await harness.restart(0);
  t.is((await harness.send(0, {path: '/book/8'})).status, 200);
  t.is(readCrashes(board), 0);
  t.false(board.crashRecords.complete);
  const next = await harness.restart(1);
  for (const [key, value] of peer.suspects.byFingerprint) {
    next.board.suspects.byFingerprint.set(key, value);
  }
  await until(() => readCrashes(board) === 2);
  t.is((await harness.send(0, POISON)).status, 503);
  // Neither has been told by a daemon that knew more; they end after some rounds.
  await until(() => board.crashRecords.complete);
});

/** Starts a daemon beside a peer whose only answers are `body` with `status`. */
async function startBesidePeer(
  t: ExecutionContext,
  body: string,
  status = 200,
): Promise<{status: number; board: SidecarBoard; asked: number}> {
  const harness = await startHarness(t, ['dc1']);
  let asked = 0;
  // It is asked, and gets no requests.
  harness.store.put('op/evacuate/dc2', '{}');
  await harness.addPeer(t, 'dc2', (req, res) => {
    if (req.url !== CRASH_PATH) return void res.writeHead(404).end();
    asked++;
    res.writeHead(status).end(body);
  });
  await until(() => harness.sidecars[0].board.list.byId.has('peer'));
  const {board} = await harness.restart(0);
  const answer = await harness.send(0, {path: '/book/8'});
  await until(() => !board.crashRecords.asking);
  return {status: answer.status, board, asked};
}

const RECORD = {
  fingerprint: FP,
  upstream: 'u9',
  crashes: 2,
  ageMs: 1_000,
  refusalMs: 60_000,
  refusalEndsInMs: 59_000,
};

const MALFORMED: Record<string, string> = {
  'no JSON': '{"complete":true,"records":[',
  null: 'null',
  'a string of records': JSON.stringify({complete: true, records: 'x'}),
  'an endless refusal': JSON.stringify({
    complete: true,
    records: [{...RECORD, refusalEndsInMs: 1e12}],
  }),
  'no number of crashes': JSON.stringify({
    complete: true,
    records: [{...RECORD, crashes: 0.5}],
  }),
  'an odd fingerprint': JSON.stringify({
    complete: true,
    records: [{...RECORD, fingerprint: '__proto__'}],
  }),
  'too many records': JSON.stringify({
    complete: true,
    records: Array.from({length: 1_001}, () => RECORD),
  }),
  'too many bytes': ' '.repeat(1_100_000) + '{"complete":true,"records":[]}',
};

for (const [name, body] of Object.entries(MALFORMED)) {
  test.serial(`malformed records change nothing: ${name}`, async t => {
    const {status, board, asked} = await startBesidePeer(t, body);
    t.true(asked > 0);
    t.is(status, 200);
    t.is(board.suspects.byFingerprint.size, 0);
    t.false(board.crashRecords.complete);
    t.true((board.counters.get('crash_records_malformed') ?? 0) > 0);
  });
}

test.serial('records with fields of a later version are adopted', async t => {
  const records = [{...RECORD, added: {by: 'a later version'}}];
  const body = JSON.stringify({complete: true, records, added: 1});
  const {board} = await startBesidePeer(t, body);
  t.is(readCrashes(board), 2);
});

test.serial('a peer of an earlier version holds up no start', async t => {
  const {status, board} = await startBesidePeer(t, '', 404);
  t.is(status, 200);
  // Others may know more, but are not asked for good.
  t.false(board.crashRecords.complete);
  await until(() => board.crashRecords.complete);
});

// A daemon that had missed the first crashes counted one, reported one, and let
// the request through once more.
test.serial(
  'a report is answered with the crashes known beyond it',
  async t => {
    const harness = await startHarness(t, ['dc1', 'dc2']);
    const [{board}, other] = harness.sidecars;
    // Only the local upstream may get the request.
    harness.store.put('op/evacuate/dc2', '{}');
    await until(() => board.list.takenOut.size > 0);
    await until(() => board.crashRecords.complete);
    recordBoth(other.board);
    const [upstream] = harness.upstreams;
    upstream.handle = () => void upstream.close();
    t.is((await harness.send(0, POISON)).status, 502);
    await until(() => readCrashes(board) === 3);
    t.is(readCrashes(other.board), 3);
  },
);

test.serial('a daemon asks when a silent one is heard again', async t => {
  const harness = await startHarness(t, ['dc1', 'dc2']);
  const [{board}, other] = harness.sidecars;
  await until(() => board.crashRecords.complete);
  recordBoth(other.board);
  const contact = getOrCreateContact(board.contacts, harness.upstreams[1].host);
  contact.silent = true;
  await until(() => readCrashes(board) === 2);
  t.is((await harness.send(0, POISON)).status, 503);
});

test.serial('a daemon asks once its old copy is current again', async t => {
  const harness = await startHarness(t, ['dc1', 'dc2']);
  const [{board}, other] = harness.sidecars;
  await until(() => board.crashRecords.complete);
  recordBoth(other.board);
  const {readMirrorAge} = board;
  board.readMirrorAge = () => MAX_COPY_AGE_MS + 1;
  await until(() => board.crashRecords.wasCopyOld);
  t.is(readCrashes(board), 0);
  board.readMirrorAge = readMirrorAge;
  await until(() => readCrashes(board) === 2);
  t.pass();
});

// A daemon in touch has nothing to ask for: the exchange costs a calm day nothing.
test.serial('a daemon asks after a pause, and not while in touch', async t => {
  const harness = await startHarness(t, ['dc1', 'dc2']);
  await until(() => harness.sidecars[1].board.crashRecords.complete);
  let now = 1_000_000;
  const board = {
    ...harness.sidecars[0].board,
    crashRecords: createCrashRecords(),
    now: () => now,
    readMirrorAge: () => 0,
  };
  const {crashRecords} = board;
  const asked: string[] = [];
  const client = createHttpClient({
    connections: 1,
    connectTimeoutMs: 1_000,
    keepAliveMs: 1_000,
  });
  t.teardown(() => client.close());
  const counting: HttpClient = {
    ...client,
    send(origin, request, at) {
      asked.push(origin);
      return client.send(origin, request, at);
    },
  };
  const check = async (elapsedMs: number): Promise<void> => {
    now += elapsedMs;
    refreshCrashRecords(board, counting);
    await until(() => !crashRecords.asking);
  };
  await check(100);
  t.is(asked.length, 1);
  t.true(crashRecords.complete);
  for (let i = 0; i < 600; i++) await check(100);
  t.is(asked.length, 1);
  await check(600);
  t.is(asked.length, 2);
  for (let i = 0; i < 600; i++) await check(100);
  t.is(asked.length, 2);
});

// Reports that met a daemon in a short cut or pause were lost to it.
test.serial('a report is sent again to a daemon that missed it', async t => {
  const harness = await startHarness(t, ['dc1']);
  const bodies: string[] = [];
  let refusals = 2;
  await harness.addPeer(t, 'dc2', (req, res) => {
    if (req.url !== CRASH_PATH || req.method !== 'POST') {
      return void res.writeHead(404).end();
    }
    if (refusals-- > 0) return void req.socket.destroy();
    req.on('data', chunk => bodies.push(String(chunk)));
    req.on('end', () => res.writeHead(204).end());
  });
  const [{board}] = harness.sidecars;
  await until(() => board.list.byId.has('peer'));
  const [upstream] = harness.upstreams;
  upstream.handle = () => void upstream.close();
  t.is((await harness.send(0, POISON)).status, 502);
  await until(() => bodies.length > 0);
  const [report] = JSON.parse(bodies[0]) as {ageMs: number}[];
  // Its age counts from the crash.
  t.true(report.ageMs >= 900);
  const {action} = classifyRequest(board.suspects, FP, board.now());
  t.is(action, 'alone');
});

// A daemon that was answered only by one that knew nothing itself, or by an earlier
// version, asked nobody again: the one that knew was silent just then.
for (const status of [200, 404]) {
  test.serial(
    `an answer that tells nothing ends no asking: ${status}`,
    async t => {
      const harness = await startHarness(t, ['dc1']);
      const record = {
        ...{fingerprint: FP, upstream: 'u9', crashes: 2, ageMs: 1_000},
        ...{refusalMs: 60_000, refusalEndsInMs: 50_000},
      };
      let asked = 0;
      harness.store.put('op/evacuate/dc2', '{}');
      await harness.addPeer(t, 'dc2', (req, res) => {
        if (req.url !== CRASH_PATH) return void res.writeHead(404).end();
        asked++;
        if (asked === 1 && status === 404) return void res.writeHead(404).end();
        const records = asked === 1 ? [] : [record];
        res.end(JSON.stringify({complete: asked > 1, records}));
      });
      await until(() => harness.sidecars[0].board.list.byId.has('peer'));
      asked = 0;
      const {board} = await harness.restart(0);
      await until(() => readSuspectRecord(board.suspects, FP, board.now()));
      t.true(board.crashRecords.complete);
    },
  );
}
