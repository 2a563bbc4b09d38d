import {request} from 'node:http';
import test, {type ExecutionContext} from 'ava';
import {HEADERS} from '../src/internal.js';
import type {SidecarBoard} from '../src/sidecar/board.js';
import {
  answerOk,
  startHarness,
  until,
  type HarnessUpstream,
  type SidecarHarness,
} from './support/sidecar_harness.js';

// Only the owner of an upstream held the limit that it had stated. After a restart
// it filled all slots of the upstream before the first answer (LIMIT, review/9).

const REQUESTS = 8;

/** Starts two daemons; all requests go to the upstream of the first one. */
async function startLimited(
  t: ExecutionContext,
): Promise<{harness: SidecarHarness; limited: HarnessUpstream}> {
  const harness = await startHarness(t, ['dc1', 'dc2']);
  harness.store.put('op/evacuate/dc2', '{}');
  for (const {board} of harness.sidecars) {
    await until(() => board.list.takenOut.size > 0);
  }
  return {harness, limited: harness.upstreams[0]};
}

function stateLimit(upstream: HarnessUpstream, limit: string): void {
  upstream.handle = (req, res) => {
    res.setHeader('server-limit', limit);
    answerOk(req, res);
  };
}

/** Sends requests at once by the second daemon; the upstream answers none of them
 * before all are handled. Returns how many reach it. */
async function countRuns(
  harness: SidecarHarness,
  {runs}: HarnessUpstream,
): Promise<number> {
  const before = runs.length;
  await Promise.all(
    Array.from({length: REQUESTS}, (_, i) =>
      harness.send(1, {path: `/slow/${i}`, deadlineMs: 400}),
    ),
  );
  return runs.length - before;
}

async function restartOwner(harness: SidecarHarness): Promise<SidecarBoard> {
  const {board} = await harness.restart(0);
  await until(() => Number.isFinite(board.limiter.coldUntil));
  return board;
}

test.serial('a restarted owner keeps to a limit in a health check', async t => {
  const {harness, limited} = await startLimited(t);
  limited.health = {'server-limit': '1'};
  const board = await restartOwner(harness);
  t.is(board.limiter.statedPerS, 1);
  limited.handle = () => undefined;
  t.true((await countRuns(harness, limited)) <= 1);
});

test.serial('entries hand a limit over to a restarted owner', async t => {
  const {harness, limited} = await startLimited(t);
  stateLimit(limited, '1');
  t.is((await harness.send(1)).status, 200);
  const board = await restartOwner(harness);
  t.is(board.limiter.statedPerS, undefined);
  limited.handle = () => undefined;
  t.true((await countRuns(harness, limited)) <= 1);
  t.is(board.limiter.statedPerS, 1);
});

test.serial('without a limit a restarted owner uses all slots', async t => {
  const {harness, limited} = await startLimited(t);
  t.is((await harness.send(1)).status, 200);
  await restartOwner(harness);
  limited.handle = () => undefined;
  t.is(await countRuns(harness, limited), REQUESTS);
});

test.serial('a limit that was handed over ends with an answer', async t => {
  const {harness, limited} = await startLimited(t);
  stateLimit(limited, '5');
  t.is((await harness.send(1)).status, 200);
  const board = await restartOwner(harness);
  limited.handle = answerOk;
  while ((await harness.send(1)).status !== 200);
  t.is(board.limiter.statedPerS, undefined);
  // The entry has heard of the end too, and hands nothing over again.
  t.is(harness.sidecars[1].board.statedLimits.size, 0);
  t.is((await harness.send(1)).status, 200);
  t.is(board.limiter.statedPerS, undefined);
});

test.serial('a new incarnation does not inherit a limit', async t => {
  const {harness, limited} = await startLimited(t);
  const [, entry] = harness.sidecars;
  stateLimit(limited, '1');
  t.is((await harness.send(1)).status, 200);
  await harness.kill(0);
  harness.store.put('servers/u0', {
    addr: `${limited.host}:${limited.port}`,
    born: 2_000,
    info: {service: 's', version: 'v1', zone: 'dc1', slots: 8},
    status: {state: 'ready', sequence: 1, cold_left: '0ms'},
  });
  await until(() => entry.board.list.byId.get('u0')?.startedAt === 2_000);
  const board = await restartOwner(harness);
  limited.handle = () => undefined;
  t.is(await countRuns(harness, limited), REQUESTS);
  t.is(board.limiter.statedPerS, undefined);
});

// The health check of a daemon that starts may still reach the incarnation before.
test.serial('a limit of another incarnation ends with its entry', async t => {
  const {harness, limited} = await startLimited(t);
  limited.health = {'server-limit': '1', 'x-instance-id': 'u-before'};
  harness.store.remove('servers/u0');
  const board = await restartOwner(harness);
  t.is(board.limiter.statedPerS, 1);
  harness.store.put('servers/u0', {
    addr: `${limited.host}:${limited.port}`,
    born: 2_000,
    info: {service: 's', version: 'v1', zone: 'dc1', slots: 8},
    status: {state: 'ready', sequence: 1, cold_left: '0ms'},
  });
  await until(() => board.list.byId.has('u0'));
  t.is(board.limiter.statedPerS, undefined);
});

test.serial('malformed limits of other daemons are ignored', async t => {
  const {harness} = await startLimited(t);
  for (const limit of ['', 'Infinity', '-1', '1e3', '9'.repeat(400)]) {
    const board = await restartOwner(harness);
    const {settings, names} = board;
    await new Promise<void>((resolve, reject) => {
      const req = request(
        {
          host: settings.host,
          port: settings.peerPort,
          path: '/read/1',
          agent: false,
          headers: {
            [names.requestId]: 'forwarded',
            [HEADERS.terms]: 'u0,read,1,300,600,fingerprint',
            [HEADERS.limit]: limit,
          },
        },
        res => {
          res.resume();
          t.is(res.statusCode, 200);
          resolve();
        },
      );
      req.on('error', reject);
      req.end();
    });
    t.false(
      harness.lines.some(line => line.includes('"upstreamLimit"')),
      limit,
    );
  }
});
