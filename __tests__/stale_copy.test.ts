import test, {type ExecutionContext} from 'ava';
import {HEADERS, recordTargetSend} from '../src/internal.js';
import {STATE_PATH} from '../src/sidecar/peer_state.js';
import {answerOk, startHarness, until} from './support/sidecar_harness.js';

/** Age of a copy that is too old for every bound of the platform, ms. */
const OLD_MS = 2_000;

/** Time after which a read of the store without an answer fails, ms. */
const STORE_TIMEOUT_MS = 500;

/** Limits of the harness's configuration, bytes. */
const LIMIT_BYTES = 4_096;
const BODY_LIMIT_BYTES = 10_000;

/** What the peer does with requests, by kind. */
interface PeerBehaviour {
  /** Age in its answers to polls, ms; undefined: polls get no answer. */
  pollAgeMs: number | undefined;
  /** Whether it answers probes and forwarded requests. */
  answers: boolean;
  /** Where it says that its own reads of the store fail, if at all. */
  tells?: 'polls' | 'load';
}

/**
 * Starts a daemon with one peer, stops the store from answering, and waits
 * until the daemon's copy is old. Requests are sent meanwhile, so that the
 * daemon has contact with the peer.
 */
async function startStale(t: ExecutionContext, peer: PeerBehaviour) {
  const harness = await startHarness(t, ['dc1']);
  const {board} = harness.sidecars[0];
  await harness.addPeer(t, 'dc1', (req, res) => {
    if (req.url?.startsWith(STATE_PATH)) {
      if (peer.pollAgeMs === undefined) return;
      if (peer.tells === 'polls') res.setHeader(HEADERS.storeLost, '1');
      res.writeHead(204, {[HEADERS.ageMs]: String(peer.pollAgeMs)}).end();
      return;
    }
    if (!peer.answers) return;
    const flags = peer.tells === 'load' ? 4 : 0;
    res.setHeader(HEADERS.load, `0,0,8,10,0,${flags}`);
    if (req.headers[HEADERS.terms] === undefined) res.writeHead(204).end();
    else answerOk(req, res, 'peer');
  });
  await until(() => board.list.byId.has('peer'));
  const failAfter = (ms: number) =>
    new Promise<never>((_resolve, reject) => {
      setTimeout(reject, ms, new Error('no answer'));
    });
  harness.store.readPage = () => failAfter(STORE_TIMEOUT_MS);
  harness.store.watch = (_prefix, _after, waitMs) =>
    failAfter(waitMs + STORE_TIMEOUT_MS);
  const sendToPeer = () => {
    // The local upstream counts as busy, so that the peer is chosen first.
    for (let i = 0; i < 50; i++) recordTargetSend(board.balance, 'u0');
    return harness.send(0, {path: '/slow/1', deadlineMs: 5_000});
  };
  while (board.readMirrorAge() < OLD_MS) {
    await sendToPeer();
    await new Promise(resolve => setTimeout(resolve, 50));
  }
  return {harness, board, sendToPeer};
}

// Daemons handled requests by an old configuration, and sent them to upstreams
// that had left: their polls failed for seconds, or readers that were busy
// themselves answered with old copies, which passed for word of an outage.
for (const [sources, pollAgeMs] of [
  ['polls get no answer', undefined],
  ['peers have old copies', 60_000],
] as const) {
  test.serial(`a daemon refuses requests while ${sources}`, async t => {
    const peer = {pollAgeMs, answers: true};
    const {harness, board, sendToPeer} = await startStale(t, peer);
    const [{runs}] = harness.upstreams;
    const before = runs.length;
    // A pause of the test process since then would look like a cut.
    const renewContact = () => (board.peerHeardAt = board.now());
    renewContact();
    t.is((await sendToPeer()).status, 503);
    renewContact();
    t.is((await harness.send(0)).status, 503);
    t.is(runs.length, before);
    renewContact();
    t.is(await harness.readReady(0), 503);
  });
}

for (const tells of ['polls', 'load'] as const) {
  test.serial(`a daemon serves on in an outage told in ${tells}`, async t => {
    const peer = {pollAgeMs: 60_000, answers: true, tells};
    const {harness, sendToPeer} = await startStale(t, peer);
    t.is((await sendToPeer()).status, 200);
    t.is(await harness.readReady(0), 200);
  });
}

test.serial('a daemon that is cut off from all others serves on', async t => {
  const peer = {pollAgeMs: undefined, answers: false};
  const {harness} = await startStale(t, peer);
  t.is((await harness.send(0)).status, 200);
  t.is(await harness.readReady(0), 200);
});

// A daemon that served on by an old copy refused a route with 404, which is final
// for customers, three seconds after the store had confirmed the version with it.
test.serial('an old copy refuses nothing for good', async t => {
  const peer = {pollAgeMs: 60_000, answers: true, tells: 'polls'} as const;
  const {harness} = await startStale(t, peer);
  const {status, headers} = await harness.send(0, {path: '/added/1'});
  t.is(status, 503);
  t.true(Number(headers['retry-after']) > 0);
  // A later version may raise the limits too.
  const large = {headers: {'x-pad': 'a'.repeat(LIMIT_BYTES)}};
  t.is((await harness.send(0, large)).status, 503);
  const body = 'a'.repeat(BODY_LIMIT_BYTES + 1);
  t.is((await harness.send(0, {method: 'POST', body})).status, 503);
  // What the copy allows is served on.
  t.is((await harness.send(0)).status, 200);
  // The line tells an old copy from one that lacks the route in error.
  const findLine = () =>
    harness.lines.find(text => text.includes('stale-view'));
  await until(findLine);
  t.regex(findLine() ?? '', /"copy":"old","copyAgeMs":\d{4,}/);
});

test.serial('a current copy refuses what it does not allow', async t => {
  const harness = await startHarness(t, ['dc1']);
  t.is((await harness.send(0, {path: '/added/1'})).status, 404);
  const large = {headers: {'x-pad': 'a'.repeat(LIMIT_BYTES)}};
  t.is((await harness.send(0, large)).status, 413);
  const body = 'a'.repeat(BODY_LIMIT_BYTES + 1);
  t.is((await harness.send(0, {method: 'POST', body})).status, 413);
});
