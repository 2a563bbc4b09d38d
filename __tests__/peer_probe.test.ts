import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {
  PROBE_TIMEOUT_MS,
  SLOW_PROBE_TIMEOUT_MS,
  PROBES_PER_S,
  PROBE_AFTER_MS,
  PROBE_BURST,
  createTokenBucket,
  getOrCreateContact,
  type PeerContacts,
} from '../src/internal.js';
import type {SidecarBoard} from '../src/sidecar/board.js';
import type {HttpClient, HttpResult} from '../src/sidecar/http_client.js';
import {probeQuietPeers} from '../src/sidecar/peer_probe.js';

const HOST = '10.0.0.2';

/** A board with one daemon that owes an answer, and a client that records. */
function createHarness() {
  const contacts: PeerContacts = new Map();
  const contact = getOrCreateContact(contacts, HOST);
  const state = {
    lagMs: 0,
    probes: 0,
    gaveUp: 0,
    written: true,
    now: 2 * PROBE_AFTER_MS,
  };
  const probeAfterMs = PROBE_AFTER_MS;
  const giveUp = () => state.gaveUp++;
  contact.open.add({sentAt: 0, probeAfterMs, giveUp});
  const board = {
    contacts,
    settings: {peerPort: 1},
    list: {byId: new Map()},
    balance: new Map(),
    probeTokens: createTokenBucket(PROBES_PER_S, PROBE_BURST, 0),
    counters: new Map(),
    lag: {read: () => state.lagMs},
    log: {write: () => undefined},
    now: () => state.now,
  } as unknown as SidecarBoard;
  let settle!: (result: HttpResult) => void;
  const client: HttpClient = {
    send: () => {
      state.probes++;
      const result = new Promise<HttpResult>(resolve => (settle = resolve));
      const {written} = state;
      const abort = () => settle({kind: 'aborted', written});
      return {result, isWritten: () => written, abort};
    },
    close: () => Promise.resolve(),
  };
  const probe = () => probeQuietPeers(board, client);
  const failProbe = async () => {
    settle({kind: 'aborted', written: true});
    await new Promise(resolve => setImmediate(resolve));
  };
  return {state, contact, contacts, probe, failProbe};
}

// An overloaded daemon took all others for silent: it ended their requests and
// sent as many probes as requests, which kept it overloaded.
test('a daemon with a busy event loop does not probe others', t => {
  const {state, probe} = createHarness();
  state.lagMs = 400;
  probe();
  t.is(state.probes, 0);
  state.lagMs = 0;
  probe();
  t.is(state.probes, 1);
});

// The same for a probe that was sent before the event loop became busy.
test('a probe that fails while the event loop is busy says nothing', async t => {
  const {state, contact, probe, failProbe} = createHarness();
  probe();
  state.lagMs = 400;
  await failProbe();
  t.false(contact.silent);
  t.is(state.gaveUp, 0);
  contact.probedAt = -Infinity;
  state.lagMs = 0;
  probe();
  await failProbe();
  t.true(contact.silent);
  t.is(state.gaveUp, 1);
});

// When all daemons were slow, each sent as many probes as requests.
test('the rate of probes is limited', t => {
  const {state, contacts, probe} = createHarness();
  for (let i = 0; i < 2 * PROBE_BURST; i++) {
    const {open} = getOrCreateContact(contacts, `10.0.1.${i}`);
    open.add({sentAt: 0, probeAfterMs: PROBE_AFTER_MS});
  }
  probe();
  t.is(state.probes, PROBE_BURST);
  state.now += 1_000;
  probe();
  t.is(state.probes, PROBE_BURST + PROBES_PER_S);
});

// Overloaded daemons were taken for silent: their requests were given up and
// asked again elsewhere while the answers still came.
test.serial('a daemon that accepts connections gets more time', async t => {
  const clock = FakeTimers.install({
    toFake: ['setTimeout', 'clearTimeout', 'setImmediate', 'clearImmediate'],
  });
  try {
    const busy = createHarness();
    busy.probe();
    const cutOff = createHarness();
    cutOff.state.written = false;
    cutOff.probe();
    await clock.tickAsync(PROBE_TIMEOUT_MS + 1);
    t.true(cutOff.contact.silent);
    t.is(cutOff.state.gaveUp, 1);
    t.false(busy.contact.silent);
    t.is(busy.state.gaveUp, 0);
    await clock.tickAsync(SLOW_PROBE_TIMEOUT_MS - PROBE_TIMEOUT_MS + 1);
    t.true(busy.contact.silent);
    t.is(busy.state.gaveUp, 1);
  } finally {
    clock.uninstall();
  }
});
