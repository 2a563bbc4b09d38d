import test from 'ava';
import fc from 'fast-check';
import * as core from '../src/internal.js';
import {createDocument} from './support/documents.js';
import * as naive from './support/naive_config.js';
import {Network} from './support/network.js';

const {getPosition, handleHeartbeatConfig, handleWant, tickRelay, TICK_MS} =
  core;
const {createPeer, link, Series, withSlots} = naive;

const step = fc.record({
  kind: fc.constantFrom(
    ...(['edit', 'edit', 'race', 'bad', 'snapshot'] as const),
    ...(['restart', 'wait', 'trim'] as const),
  ),
  at: fc.nat(99),
  forMs: fc.nat(900),
});
const schedules = fc.array(step, {minLength: 30, maxLength: 60});
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

/** Runs a check on networks of eight daemons with generated input. */
function checkNetworks<T>(
  input: fc.Arbitrary<T>,
  params: fc.Parameters<[T, number]>,
  check: (net: Network, value: T) => void,
): void {
  const dataCentres = {d1: 5, d2: 3};
  const document = createDocument(Object.keys(dataCentres));
  const run = (value: T, seed: number) => {
    const net = new Network({seed, dataCentres, document});
    try {
      net.run(8_000);
      check(net, value);
    } finally {
      net.stop();
    }
  };
  // Shrinking a failure would take minutes.
  const property = fc.property(input, fc.nat(), run);
  fc.assert(property, {...params, endOnFailure: true});
}

function applyStep(net: Network, {kind, at, forMs}: Step): void {
  const {version, digest, document} = net.expectedConfig.current!;
  const {id, board} = net.getLiveNodes()[at % net.getLiveNodes().length];
  const publish = (path: string, value?: number) => {
    const ops = [{op: value ? 'replace' : 'remove', path, value}];
    const base = {base: version, baseDigest: digest};
    net.publish('patch', {...base, ops, author: 'op'});
  };
  const slots = '/services/s0/slots';
  if (kind === 'edit' || kind === 'race') publish(slots, at + 1);
  if (kind === 'race') publish(slots, at + 101);
  if (kind === 'bad') publish('/services/s0');
  if (kind === 'snapshot') net.publishSnapshot(version, document);
  if (kind === 'restart') net.restart(id);
  // Empties the log, as after a series that exceeds its limits.
  if (kind === 'trim') Object.assign(board.config, {log: [], logPositions: []});
  net.run(forMs);
}

test('lost, repeated, reordered or stale deliveries never roll a daemon back or give it a partial or unaccepted version', t => {
  checkNetworks(schedules, {seed: 11, numRuns: 12}, (net, list) => {
    const accepted = new Map<number, string>();
    Object.assign(net.faults, {drop: 0.3, duplicate: 0.2, reorder: 0.3});
    net.source.backwards = 0.3;
    const seen = new Set<core.Version>();
    for (const step of list) {
      // The network throws when a version in force decreases.
      applyStep(net, step);
      const {version, digest} = net.expectedConfig.current!;
      accepted.set(version, digest);
      for (const {board} of net.getLiveNodes()) {
        const {current} = board.config;
        if (!current || seen.has(current) || current.version === 1) continue;
        seen.add(current);
        t.is(core.computeDigest(current.document), current.digest);
        t.is(accepted.get(current.version), current.digest);
      }
    }
    Object.assign(net.faults, {drop: 0, duplicate: 0, reorder: 0});
    net.source.backwards = 0;
    net.run(15_000);
    for (const {board} of net.getLiveNodes()) {
      t.deepEqual(getPosition(board.config), getPosition(net.expectedConfig));
      t.deepEqual(board.config.refusals, net.expectedConfig.refusals);
      t.is(board.config.inForce, board.config.current);
    }
  });
});

test('without faults the mesh ends in the state of the naive implementation', t => {
  const edits = fc.array(fc.nat(9));
  checkNetworks(edits, {seed: 12, numRuns: 8}, (net, list) => {
    const daemon: naive.NaiveDaemon = {version: 0};
    naive.applyNaively(daemon, net.expectedConfig.current!);
    for (const at of list) {
      applyStep(net, {kind: 'edit', at, forMs: 300});
      naive.applyNaively(daemon, net.expectedConfig.current!);
    }
    net.run(2_000);
    for (const {board} of net.getLiveNodes()) {
      t.is(board.config.inForce?.version, daemon.version);
      t.deepEqual(board.config.inForce?.document, daemon.document);
    }
  });
});

test('the naive implementation fails on the same schedules', t => {
  const seen = {rollbacks: 0, badDocument: 0, editLost: 0};
  for (const list of fc.sample(schedules, {seed: 11, numRuns: 12})) {
    const daemon: naive.NaiveDaemon = {version: 0};
    const queue = [{version: 1, document: createDocument(['d1', 'd2'])}];
    let {document} = queue[0];
    const write = (next: core.Document) => {
      document = next;
      queue.push({version: queue.length, document});
    };
    for (const {kind, at} of list) {
      const base = document;
      if (kind === 'edit') write(withSlots(base, at + 1));
      if (kind === 'bad') write({...base, dataCentres: {}});
      if (kind !== 'race') continue;
      write({...base, routes: {}});
      write(withSlots(base, at + 101));
      if (document.routes.r0) seen.editLost++;
    }
    // Deliveries are reordered; every third is lost.
    const swapped = queue.map((_, i) => queue[i ^ 1] ?? queue[i]);
    for (const value of swapped.filter((_, i) => i % 3 > 0)) {
      if (value.version < daemon.version) seen.rollbacks++;
      naive.applyNaively(daemon, value);
      if (!core.checkDocument(value.document).ok) seen.badDocument++;
    }
  }
  t.true(seen.rollbacks > 0 && seen.badDocument > 0 && seen.editLost > 0);
});

/** Creates a daemon `a` at version 3 and peers at version 1, all linked. */
function createAhead(peers: string[]) {
  const {entries} = new Series(3);
  const ahead = createPeer('a', peers);
  link(ahead, ...peers);
  core.applyEntries(ahead.config, entries);
  const behind = peers.map(id => {
    const board = createPeer(id, ['a', ...peers]);
    link(board, 'a', ...peers.filter(other => other !== id));
    core.applyEntries(board.config, entries.slice(0, 1));
    return board;
  });
  return {ahead, behind};
}

function createWant({config}: core.Board): core.MessageOf<'want'> {
  const {index: after, version, digest} = getPosition(config);
  return {t: 'want', after, version, digest};
}

function summarise(effects: core.Effect[]): string {
  const sent = effects.filter(effect => effect.kind === 'send');
  return sent.map(({msg, to}) => `${msg.t} to ${to}`).join();
}

/** Delivers the messages that are addressed to one board. */
function deliver(
  effects: core.Effect[],
  from: string,
  board: core.Board,
): void {
  for (const effect of effects) {
    if (effect.kind !== 'send' || effect.to !== board.self.id) continue;
    core.handleMessage(board, from, effect.msg, 10);
  }
}

test('a peer whose missing entries are in the log is not sent the whole document', t => {
  const {ahead, behind} = createAhead(['b']);
  for (const board of [behind[0], ahead]) {
    const sent = handleWant(ahead, 'b', createWant(board), 0);
    t.is(summarise(sent), 'entries to b');
  }
});

test('a daemon never sends more than two checkpoints at a time', t => {
  const {ahead, behind} = createAhead(['b', 'c', 'd', 'e']);
  Object.assign(ahead.config, {log: [], logPositions: []});
  const ask = (i: number, now: number) =>
    summarise(handleWant(ahead, 'bcde'[i], createWant(behind[i]), now));
  t.is(ask(0, 0), 'checkpoint to b');
  t.is(ask(1, 0), 'checkpoint to c');
  t.is(ask(2, 0), 'busy to d');
  handleWant(ahead, 'b', createWant(ahead), 1);
  t.is(ask(2, 1), 'checkpoint to d');
  t.is(ask(3, 1), 'busy to e');
  tickRelay(ahead, core.TRANSFER_TIMEOUT_MS);
  t.is(ask(3, core.TRANSFER_TIMEOUT_MS), 'checkpoint to e');
});

test('a request refused as busy is repeated at another peer first', t => {
  const {ahead, behind} = createAhead(['b', 'c']);
  const [board] = behind;
  const beat = core.createHeartbeat(ahead, 0);
  const receiveBeat = (peer: string, now: number) =>
    summarise(handleHeartbeatConfig(board, peer, beat, now));
  const tick = (now: number) => summarise(tickRelay(board, now));
  t.is(receiveBeat('a', 0), 'want to a');
  core.handleBusy(board, 'a', {t: 'busy', retryAfterMs: 2_000}, 1);
  t.true(board.relay.nextRequestAt > 1);
  t.is(receiveBeat('c', 1), '');
  t.is(tick(500), 'want to c');
  t.is(receiveBeat('a', 1_500), '');
  const late = 500 + core.CATCH_UP_TIMEOUT_MS;
  t.is(tick(late), '');
  t.is(tick(late + 500), 'want to a');
  core.handleBusy(board, 'a', {t: 'busy', retryAfterMs: 5_000}, late + 501);
  board.links.delete('c');
  t.is(tick(late + 5_000), '');
  t.is(tick(late + 5_501), 'want to a');
});

test('daemons with diverged content of one version exchange nothing until a higher version', t => {
  const {ahead, behind} = createAhead(['b', 'c']);
  const [other] = behind;
  const {document} = ahead.config.current!;
  const fork = core.createVersion(3, 5, withSlots(document, 9));
  Object.assign(other.config, {current: fork, inForce: fork, index: 5});
  for (const now of [1, 2]) {
    const beats = [other, ahead].map(board => core.createHeartbeat(board, now));
    t.deepEqual(handleHeartbeatConfig(ahead, 'b', beats[0], now), []);
    t.deepEqual(handleHeartbeatConfig(other, 'a', beats[1], now), []);
  }
  t.is(ahead.counters.get('config_conflicts'), 1);
  t.deepEqual(handleWant(ahead, 'b', createWant(other), 3), []);
  const entry = {index: 4, prev: 3, kind: 'patch', value: {}};
  const push = {t: 'entries' as const, after: 3, entries: [entry]};
  t.deepEqual(core.handleEntries(ahead, 'b', push, 3), []);
  t.is(ahead.config.index, 3);
  t.is(summarise(core.relayEntries(ahead, [entry])), 'entries to c');
  const current = core.createVersion(4, 4, withSlots(document, 8));
  Object.assign(ahead.config, {current, index: 4});
  const wants = handleHeartbeatConfig(
    other,
    'a',
    core.createHeartbeat(ahead, 4),
    4,
  );
  t.is(summarise(wants), 'want to a');
  deliver(handleWant(ahead, 'b', createWant(other), 4), 'a', other);
  t.is(other.config.inForce?.digest, current.digest);
});

function describeInForce({config}: core.Board): string {
  const {inForce, confirmed} = config;
  return `${inForce?.version ?? 'none'} ${confirmed ? '' : 'un'}confirmed`;
}

test('a restarted daemon serves no version below those of its peers', t => {
  const {ahead, behind} = createAhead(['b', 'c', 'x']);
  const beat = {...core.createHeartbeat(ahead, 0), confirmed: true};
  const lower = {...core.createHeartbeat(behind[0], 0), confirmed: true};
  const learning = {...beat, confirmed: false};
  const nothing = {...learning, version: 0, digest: ''};
  const run = (version: number, at: number, beats: object): string => {
    const board = createPeer('b', ['a', 'c', 'x']);
    link(board, ...Object.keys(beats));
    for (const [peer, msg] of Object.entries(beats)) {
      board.links.get(peer)!.beat = msg as typeof beat;
    }
    board.config.current = (version === 3 ? ahead : behind[0]).config.current;
    for (let now = 0; now <= at; now += TICK_MS) core.updateInForce(board, now);
    return describeInForce(board);
  };
  const window = core.LEARN_WINDOW_MS;
  t.is(run(3, 0, {a: beat, x: beat}), '3 confirmed');
  t.is(run(3, 0, {a: beat, x: lower}), '3 confirmed');
  t.is(run(3, 0, {a: beat, c: beat}), 'none unconfirmed');
  t.is(run(3, 0, {a: beat, x: learning}), 'none unconfirmed');
  t.is(run(1, 60_000, {a: beat, x: lower}), 'none unconfirmed');
  t.is(run(3, window - 1, {a: learning}), 'none unconfirmed');
  t.is(run(3, window, {a: learning}), '3 confirmed');
  t.is(run(3, window, {a: lower}), '3 confirmed');
  t.is(run(1, window, {a: nothing}), 'none unconfirmed');
  t.is(run(1, core.LEARN_ALONE_MS, {a: nothing}), '1 unconfirmed');
  const other = {...beat, digest: '0'.repeat(32)};
  t.is(run(3, core.LEARN_ALONE_MS, {a: other, x: other}), '3 unconfirmed');
});

test('a version learned alone is confirmed by a peer and never replaced by a lower one', t => {
  const {ahead, behind} = createAhead(['b']);
  const [board] = behind;
  // Peers cannot have reported during a pause.
  core.updateInForce(board, 0);
  core.updateInForce(board, 60_000);
  t.is(board.config.inForce, undefined);
  for (let i = 0; i < 20; i++) core.updateInForce(board, 60_000 + i * TICK_MS);
  t.is(describeInForce(board), '1 unconfirmed');
  handleHeartbeatConfig(board, 'a', core.createHeartbeat(ahead, 0), 66_000);
  t.false(board.config.confirmed);
  const low = board.config.current;
  deliver(handleWant(ahead, 'b', createWant(board), 66_000), 'a', board);
  t.is(describeInForce(board), '3 confirmed');
  board.config.current = low;
  core.updateInForce(board, 67_000);
  t.is(board.config.inForce?.version, 3);
});
