import {request} from 'node:http';
import test from 'ava';
import {
  HEADERS,
  MAX_COPY_AGE_MS,
  admit,
  createLimiter,
  markChanged,
  setStatedRate,
  type LimiterRequest,
} from '../src/internal.js';
import type {SidecarBoard} from '../src/sidecar/board.js';
import {
  answerOk,
  startHarness,
  until,
  type HarnessUpstream,
  type SidecarHarness,
} from './support/sidecar_harness.js';

/** Forwards a request as an entry does; returns status and reason. */
function forward(
  {settings, names}: SidecarBoard,
  upstreamId: string,
): Promise<{status?: number; reason?: string}> {
  return new Promise((resolve, reject) => {
    const req = request(
      {
        host: settings.host,
        port: settings.peerPort,
        path: '/read/1',
        agent: false,
        headers: {
          [names.requestId]: 'forwarded',
          [HEADERS.terms]: `${upstreamId},read,1,300,600,fingerprint`,
        },
      },
      res => {
        res.resume();
        const reason = res.headers[HEADERS.reason] as string | undefined;
        resolve({status: res.statusCode, reason});
      },
    );
    req.on('error', reject);
    req.end();
  });
}

interface Guard {
  readonly reason: string | undefined;
  readonly upstreamId?: string;
  prepare(board: SidecarBoard): void;
}

const GUARDS: Record<string, Guard> = {
  'nothing is wrong': {reason: undefined, prepare: () => undefined},
  'its upstream leaves': {
    reason: 'leaving',
    prepare: ({list}) => {
      const own = list.byId.get('u0');
      if (own) list.byId.set('u0', {...own, state: 'leaving'});
      markChanged(list);
    },
  },
  'its upstream has said that it leaves': {
    reason: 'leaving',
    prepare: board => board.announcedLeaving.set('u0', 1_000),
  },
  'its upstream has left the list': {
    reason: 'leaving',
    prepare: ({list}) => {
      list.byId.delete('u0');
      markChanged(list);
    },
  },
  'its copy is overdue': {
    reason: 'stale-view',
    prepare: board => (board.readMirrorAge = () => MAX_COPY_AGE_MS + 1),
  },
  'its data centre is taken out': {
    reason: 'data-centre-out',
    prepare: ({list}) => list.takenOut.add('dc1'),
  },
  'another upstream is meant': {
    reason: 'wrong-owner',
    upstreamId: 'u9',
    prepare: () => undefined,
  },
};

for (const [state, {reason, upstreamId, prepare}] of Object.entries(GUARDS)) {
  // Entries may know less than the owner: their copy is older, or they have
  // just started.
  test.serial(`what an owner does when ${state}`, async t => {
    const harness = await startHarness(t, ['dc1']);
    const [{board}] = harness.sidecars;
    const [own] = harness.upstreams;
    prepare(board);
    const reply = await forward(board, upstreamId ?? 'u0');
    t.is(reply.reason, reason);
    t.is(reply.status, reason === undefined ? 200 : 503);
    t.is(own.runs.length, reason === undefined ? 1 : 0);
  });
}

// The list was checked before the connection to the upstream was there, which
// may take half a second.
test.serial('an upstream that leaves meanwhile gets nothing', async t => {
  const harness = await startHarness(t, ['dc1']);
  const [{board}] = harness.sidecars;
  const reply = forward(board, 'u0');
  while (board.limiter.inFlight === 0) {
    await new Promise(resolve => setImmediate(resolve));
  }
  GUARDS['its upstream leaves'].prepare(board);
  t.deepEqual(await reply, {status: 503, reason: 'leaving'});
  t.is(harness.upstreams[0].runs.length, 0);
});

// An upstream that had recovered kept the limit of its bad minutes.
test.serial('a limit ends with the first answer without it', async t => {
  const harness = await startHarness(t, ['dc1']);
  const [own] = harness.upstreams;
  const [{board}] = harness.sidecars;
  own.handle = (req, res) => {
    res.setHeader('server-limit', '5');
    answerOk(req, res);
  };
  await harness.send(0);
  t.is(board.limiter.statedPerS, 5);
  own.handle = answerOk;
  // At 5 requests a second the next one may have to wait for its turn.
  while ((await harness.send(0)).status !== 200);
  t.is(board.limiter.statedPerS, undefined);
});

// An upstream that takes nothing at all got as much as one without a limit.
test('a limit of 0 lets hardly any request through', t => {
  const limiter = createLimiter(0);
  Object.assign(limiter, {coldUntil: -Infinity, slots: 8});
  setStatedRate(limiter, 0, 0);
  let started = 0;
  const createRequest = (): LimiterRequest => ({
    kind: 'k',
    rank: 0,
    goalAt: 1_000,
    deadlineAt: 2_000,
    start: () => started++,
    refuse: () => undefined,
  });
  for (let at = 0; at < 4_000; at += 100) admit(limiter, createRequest(), at);
  t.true(started <= 1, `${started} requests`);
});

test.serial('an upstream states a limit of 0', async t => {
  const harness = await startHarness(t, ['dc1']);
  const [own] = harness.upstreams;
  own.handle = (req, res) => {
    res.setHeader('server-limit', '0');
    answerOk(req, res);
  };
  await harness.send(0);
  t.is(harness.sidecars[0].board.limiter.statedPerS, 0);
});

/** Lists a new incarnation of the upstream, whose health is then checked. */
function relist(
  {store}: SidecarHarness,
  {host, port}: HarnessUpstream,
  born: number,
): void {
  store.put('servers/u0', {
    addr: `${host}:${port}`,
    born,
    info: {service: 's', version: 'v1', zone: 'dc1', slots: 8},
    status: {state: 'ready', sequence: 1, cold_left: '0ms'},
  });
}

// Health answers with an id were taken for late answers to requests: an upstream
// that generates an id for each answer counted as down.
test.serial('a health answer may have an id', async t => {
  const harness = await startHarness(t, ['dc1']);
  const [own] = harness.upstreams;
  const [{board}] = harness.sidecars;
  own.health = {'x-request-id': 'generated', 'x-cold-ms': '40000'};
  relist(harness, own, 2_000);
  await until(() => board.list.byId.get('u0')?.startedAt === 2_000);
  await until(() => Number.isFinite(board.limiter.coldUntil));
  t.true(board.limiter.coldUntil > board.now() + 30_000);
  t.false(board.limiter.down);
  t.is(board.counters.get('health_checks'), 2);
});

// A late answer to a request said that a cold upstream was warm.
test.serial('a late answer does not end a health check', async t => {
  const harness = await startHarness(t, ['dc1']);
  const [own] = harness.upstreams;
  const [{board}] = harness.sidecars;
  own.health = {'x-server-stamp': 'signed', 'x-request-id': 'earlier'};
  relist(harness, own, 2_000);
  await until(() => (board.counters.get('health_checks') ?? 0) >= 2);
  own.health = {'x-cold-ms': '40000'};
  await until(() => Number.isFinite(board.limiter.coldUntil));
  t.true(board.limiter.coldUntil > board.now() + 30_000);
});

// A new incarnation has not stated any limit yet.
test.serial('a restarted upstream has no limit', async t => {
  const harness = await startHarness(t, ['dc1']);
  const [own] = harness.upstreams;
  const [{board}] = harness.sidecars;
  own.handle = (req, res) => {
    res.setHeader('server-limit', '5');
    answerOk(req, res);
  };
  await harness.send(0);
  t.is(board.limiter.statedPerS, 5);
  relist(harness, own, 2_000);
  await until(() => board.list.byId.get('u0')?.startedAt === 2_000);
  t.is(board.limiter.statedPerS, undefined);
});
