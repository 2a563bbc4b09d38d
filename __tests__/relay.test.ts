import test from 'ava';
import fc from 'fast-check';
import {pack, unpack} from 'msgpackr';
import {
  applyEntries,
  BUSY_RETRY_MS,
  checkDocument,
  computeSourceAge,
  createBoard,
  createRandom,
  createVersion,
  getPosition,
  handleBeatConfig,
  handleBusy,
  handleCheckpoint,
  handleEntries,
  handleList,
  handleSourceError,
  handleSourceReply,
  handleWant,
  LEARN_ALONE_MS,
  LEARN_WINDOW_MS,
  MAX_TRANSFERS,
  parseMessage,
  relayEntries,
  TICK_MS,
  tickReader,
  tickRelay,
  TRANSFER_TIMEOUT_MS,
  updateInForce,
  WANT_TIMEOUT_MS,
  type Board,
  type Document,
  type Effect,
  type MemberRecord,
  type MessageOf,
  type PeerMessage,
  type Version,
} from '../src/internal.js';
import {
  applyNaively,
  exampleDocument,
  Platform,
  withSlots,
  type NaiveDaemon,
} from './support/naive_config.js';

const IDS = ['a', 'b', 'c', 'x', 'y'] as const;

function record(id: string): MemberRecord {
  const dataCentre = id < 'x' ? 'd1' : 'd2';
  const place = {dataCentre, region: 'r1', service: 's1', host: '127.0.0.1'};
  const ports = {customerPort: 1, peerPort: 2};
  return {id, incarnation: 0, boot: '', ...place, ...ports, state: 'live'};
}

function createLinked(id: string, peers: readonly string[], now = 0): Board {
  const board = createBoard(record(id), createRandom(7), now);
  handleList(board, peers.map(record), now);
  for (const peer of peers) {
    board.links.set(peer, {peer, dialled: true, upAt: now, heardAt: now});
  }
  return board;
}

function beatOf(board: Board, now: number): MessageOf<'beat'> {
  return {
    t: 'beat',
    hlc: [0, 0],
    ...getPosition(board.config),
    sourceAgeMs: computeSourceAge(board, now),
    buckets: new Array<number>(16).fill(0),
    confirmed: board.config.confirmed,
  };
}

function dispatch(b: Board, from: string, msg: PeerMessage, now: number) {
  if (msg.t === 'beat') return handleBeatConfig(b, from, msg, now);
  if (msg.t === 'entries') return handleEntries(b, from, msg, now);
  if (msg.t === 'want') return handleWant(b, from, msg, now);
  if (msg.t === 'checkpoint') return handleCheckpoint(b, from, msg, now);
  if (msg.t === 'busy') return handleBusy(b, from, msg, now);
  return [];
}

interface Step {
  kind: 'edit' | 'race' | 'bad' | 'snapshot' | 'read' | 'deliver' | 'lose';
  at: number;
  more: number;
}

/** Daemons on a lossy network and their platform; checked after every step. */
class Mesh {
  now = 0;
  readonly platform = new Platform();
  readonly boards = new Map<string, Board>();
  private queue: {from: string; to: string; msg: PeerMessage}[] = [];
  private reads: {id: string; after: number}[] = [];
  private ticks = 0;

  constructor() {
    this.platform.publishSnapshot(1, exampleDocument());
    for (const id of IDS) this.restart(id);
  }

  restart(id: string): void {
    this.reads = this.reads.filter(read => read.id !== id);
    const peers = IDS.filter(other => other !== id);
    this.boards.set(id, createLinked(id, peers, this.now));
  }

  private run(id: string, effects: Effect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'readSource') this.reads.push({id, ...effect});
      if (effect.kind !== 'send') continue;
      const parsed = parseMessage(unpack(pack(effect.msg)));
      if (!parsed.ok) throw new Error(parsed.reason);
      this.queue.push({from: id, to: effect.to, msg: parsed.msg});
    }
  }

  tick(): void {
    this.now += TICK_MS;
    const beats = this.ticks++ % 8 === 0;
    for (const [id, board] of this.boards) {
      updateInForce(board, this.now);
      this.run(id, tickReader(board, this.now));
      this.run(id, tickRelay(board, this.now));
      if (!beats) continue;
      const msg = beatOf(board, this.now);
      const links = [...board.links.keys()];
      this.run(
        id,
        links.map(to => ({kind: 'send', to, msg})),
      );
    }
  }

  deliver(at: number, keep: boolean): void {
    const item = this.queue[at];
    if (!item) return;
    if (!keep) this.queue.splice(at, 1);
    const board = this.boards.get(item.to)!;
    this.run(item.to, dispatch(board, item.from, item.msg, this.now));
  }

  /** Answers a pending read with the series up to `lag` entries ago. */
  answer(at: number, lag: number): void {
    const [read] = this.reads.splice(at, 1);
    if (!read) return;
    const board = this.boards.get(read.id)!;
    const upTo = Math.max(0, this.platform.reference.index - lag);
    const reply = this.platform.reply(read.after, upTo);
    const failed = lag === 5;
    this.run(
      read.id,
      failed
        ? handleSourceError(board, this.now)
        : handleSourceReply(board, reply, this.now),
    );
  }

  step({kind, at, more}: Step): void {
    const {platform} = this;
    const base = platform.version;
    const next = withSlots(base.document, more + 1);
    const changes = next.services.s1.slots !== base.document.services.s1.slots;
    if (kind === 'edit' && changes) platform.publishPatch(base, next);
    if (kind === 'race' && changes) {
      platform.publishPatch(base, next);
      platform.publishPatch(base, withSlots(base.document, more + 100));
    }
    if (kind === 'bad') {
      const ops = [{op: 'remove', path: '/services/s1'}];
      const {version, digest} = base;
      const patch = {base: version, baseDigest: digest, ops, author: 'x'};
      platform.publish('patch', patch);
    }
    if (kind === 'snapshot') {
      platform.publishSnapshot(base.version, base.document);
    }
    if (kind === 'read') this.answer(at % (this.reads.length || 1), more % 6);
    const index = at % (this.queue.length || 1);
    if (kind === 'deliver') this.deliver(index, more % 5 === 0);
    if (kind === 'lose') {
      if (more === 0) this.restart(IDS[at % IDS.length]);
      if (more === 1) this.dropLog(IDS[at % IDS.length]);
      else this.queue.splice(index, 1);
    }
    if (at % 3 === 0) this.tick();
  }

  /** Leaves a daemon without entries, as after a very long series. */
  private dropLog(id: string): void {
    const {config} = this.boards.get(id)!;
    config.log = [];
    config.marks = [];
  }

  /** Runs without faults for a while. */
  settle(ticks = 100): void {
    for (let i = 0; i < ticks; i++) {
      this.tick();
      for (let n = this.reads.length; n > 0; n--) this.answer(0, 0);
      while (this.queue.length > 0) this.deliver(0, false);
    }
  }
}

const steps = fc.array(
  fc.record<Step>({
    kind: fc.constantFrom(
      ...(['edit', 'race', 'bad', 'snapshot', 'lose'] as const),
      ...(['read', 'read', 'deliver', 'deliver', 'deliver'] as const),
    ),
    at: fc.nat(200),
    more: fc.nat(9),
  }),
  {minLength: 40, maxLength: 120},
);

test('lost, repeated, reordered or stale deliveries never move a daemon back, give part of a version or another set of versions', t => {
  let restarts = 0;
  const check = (list: Step[]) => {
    const mesh = new Mesh();
    mesh.settle(24);
    const served = new Map<Board, number>();
    const whole = new Set<Version>();
    const {accepted, reference} = mesh.platform;
    for (const step of list) {
      mesh.step(step);
      for (const board of mesh.boards.values()) {
        const {inForce, current} = board.config;
        const before = served.get(board) ?? 0;
        t.true((inForce?.version ?? 0) >= before);
        served.set(board, inForce?.version ?? 0);
        if (!current || whole.has(current)) continue;
        t.true(accepted.get(current.version) === current.digest);
        t.is(createVersion(1, 1, current.document).digest, current.digest);
        whole.add(current);
      }
    }
    restarts += served.size - IDS.length;
    mesh.settle();
    for (const {config} of mesh.boards.values()) {
      t.deepEqual(getPosition(config), getPosition(reference));
      t.is(config.inForce, config.current);
      t.deepEqual(config.refusals, reference.refusals);
    }
  };
  fc.assert(fc.property(steps, check), {seed: 11, numRuns: 60});
  t.true(restarts > 20);
});

test('without faults the mesh ends in the state of the naive version', t => {
  const check = (edits: number[]) => {
    const mesh = new Mesh();
    const naive: NaiveDaemon = {version: 0};
    applyNaively(naive, mesh.platform.version);
    mesh.settle(24);
    for (const more of edits) {
      mesh.step({kind: 'edit', at: 0, more});
      applyNaively(naive, mesh.platform.version);
      mesh.settle(2);
    }
    mesh.settle(10);
    for (const {config} of mesh.boards.values()) {
      t.is(config.inForce?.version, naive.version);
      t.deepEqual(config.inForce?.document, naive.document);
    }
  };
  const edits = fc.array(fc.nat(9), {maxLength: 8});
  fc.assert(fc.property(edits, check), {seed: 12, numRuns: 15});
});

test('the naive version fails on the same schedules', t => {
  const seen = {movedBack: 0, badDocument: 0, editLost: 0};
  for (const list of fc.sample(steps, {seed: 11, numRuns: 60})) {
    let key = {version: 1, document: exampleDocument()};
    const daemons = IDS.map((): NaiveDaemon => ({version: 0}));
    let queue: {to: NaiveDaemon; value: typeof key}[] = [];
    const write = (document: Document) => {
      key = {version: key.version + 1, document};
      queue.push(...daemons.map(to => ({to, value: key})));
    };
    for (const {kind, at, more} of list) {
      const {document} = key;
      if (kind === 'edit') write(withSlots(document, more + 1));
      if (kind === 'bad') write({...document, dataCentres: {}});
      if (kind === 'race') {
        write({...document, routes: {}});
        write(withSlots(document, more + 100));
        if (key.document.routes.r1) seen.editLost++;
      }
      const item = queue[at % (queue.length || 1)];
      if (!item || (kind !== 'deliver' && kind !== 'lose')) continue;
      if (more % 5 > 0) queue = queue.filter(other => other !== item);
      if (kind === 'lose') continue;
      if (item.value.version < item.to.version) seen.movedBack++;
      applyNaively(item.to, item.value);
      if (!checkDocument(item.value.document).ok) seen.badDocument++;
    }
  }
  t.true(seen.movedBack > 0 && seen.badDocument > 0 && seen.editLost > 0);
});

/** A daemon at the end of a series of three versions, without its entries. */
function createAhead(peers: string[], now = 0): {board: Board; old: Board[]} {
  const platform = new Platform();
  platform.publishSnapshot(1, exampleDocument());
  const board = createLinked('a', peers, now);
  const old = peers.map(id => createLinked(id, ['a', ...peers], now));
  for (const other of old) applyEntries(other.config, platform.entries);
  for (const slots of [5, 6]) {
    const {version} = platform;
    platform.publishPatch(version, withSlots(version.document, slots));
  }
  applyEntries(board.config, platform.entries);
  return {board, old};
}

function wantOf({config}: Board): MessageOf<'want'> {
  const {index: after, version, digest} = getPosition(config);
  return {t: 'want', after, version, digest};
}

function kindsOf(effects: Effect[]): string[] {
  return effects.map(effect =>
    effect.kind === 'send' ? `${effect.msg.t} to ${effect.to}` : effect.kind,
  );
}

test('a peer that lacks entries we hold is not sent the whole document', t => {
  const {board, old} = createAhead(['b']);
  const effects = handleWant(board, 'b', wantOf(old[0]), 0);
  t.deepEqual(kindsOf(effects), ['entries to b']);
  const same = handleWant(board, 'b', wantOf(board), 0);
  t.deepEqual(kindsOf(same), ['entries to b']);
});

test('a daemon never sends more than two checkpoints at a time', t => {
  const {board, old} = createAhead(['b', 'c', 'd', 'e']);
  Object.assign(board.config, {log: [], marks: []});
  const ask = (id: number, now: number): string | undefined =>
    kindsOf(handleWant(board, 'bcde'[id], wantOf(old[id]), now))[0];
  t.deepEqual(
    [0, 1, 2].map(id => ask(id, 0)),
    ['checkpoint to b', 'checkpoint to c', 'busy to d'],
  );
  t.is(board.relay.transfers.size, MAX_TRANSFERS);
  handleWant(board, 'b', wantOf(board), 1);
  t.is(ask(2, 1), 'checkpoint to d');
  t.is(ask(3, 1), 'busy to e');
  tickRelay(board, TRANSFER_TIMEOUT_MS);
  t.is(ask(3, TRANSFER_TIMEOUT_MS), 'checkpoint to e');
});

test('a refused request is repeated at another peer, not at the same one', t => {
  const {board: ahead, old} = createAhead(['b', 'c']);
  const [board] = old;
  const beat = beatOf(ahead, 0);
  const [first] = handleBeatConfig(board, 'a', beat, 0);
  t.deepEqual(kindsOf([first]), ['want to a']);
  t.deepEqual(handleBeatConfig(board, 'c', beat, 0), []);
  handleBusy(board, 'a', {t: 'busy', retryAfterMs: BUSY_RETRY_MS}, 1);
  t.true(board.relay.nextWantAt > 1);
  t.deepEqual(tickRelay(board, 1), []);
  t.deepEqual(kindsOf(tickRelay(board, 250)), ['want to c']);
  t.deepEqual(tickRelay(board, 500), []);
  const late = 250 + WANT_TIMEOUT_MS;
  t.deepEqual(tickRelay(board, late), []);
  t.deepEqual(kindsOf(tickRelay(board, late + 1_000)), ['want to a']);
});

test('daemons with other content of one version exchange nothing until a higher version', t => {
  const {board, old} = createAhead(['b', 'c']);
  const [other] = old;
  const fork = createVersion(3, 3, withSlots(exampleDocument(), 9));
  Object.assign(other.config, {current: fork, inForce: fork, index: 3});
  for (const now of [1, 2]) {
    t.deepEqual(handleBeatConfig(board, 'b', beatOf(other, now), now), []);
    t.deepEqual(handleBeatConfig(other, 'a', beatOf(board, now), now), []);
  }
  t.is(board.counters.get('config_conflicts'), 1);
  t.deepEqual(handleWant(board, 'b', wantOf(other), 3), []);
  const entry = {index: 4, prev: 3, kind: 'patch', value: {}};
  const push = {t: 'entries', after: 3, entries: [entry]} as const;
  t.deepEqual(handleEntries(board, 'b', {...push, entries: [entry]}, 3), []);
  t.is(board.config.index, 3);
  t.deepEqual(kindsOf(relayEntries(board, [entry])), ['entries to c']);
  const current = createVersion(4, 4, withSlots(exampleDocument(), 8));
  Object.assign(board.config, {current, index: 4});
  const [want] = handleBeatConfig(other, 'a', beatOf(board, 4), 4);
  t.deepEqual(kindsOf([want]), ['want to a']);
  const [sent] = handleWant(board, 'b', wantOf(other), 4);
  if (sent.kind !== 'send') return t.fail();
  dispatch(other, 'a', sent.msg, 5);
  t.is(other.config.inForce?.digest, current.digest);
});

test('a restarted daemon serves nothing below what its peers report', t => {
  const {board: ahead, old} = createAhead(['b', 'x']);
  const beat = {...beatOf(ahead, 0), confirmed: true};
  const stale = getPosition(old[0].config);
  const run = (
    beats: Record<string, typeof beat>,
    version: number,
    at: number,
  ) => {
    const board = createLinked('b', ['a', 'c', 'x']);
    const {config} = version === 3 ? ahead : old[0];
    if (version > 0) board.config.current = config.current;
    for (const [peer, msg] of Object.entries(beats)) {
      board.links.get(peer)!.beat = msg;
    }
    for (let now = 0; now <= at; now += TICK_MS) updateInForce(board, now);
    return [board.config.inForce?.version, board.config.confirmed];
  };
  const learning = {...beat, confirmed: false};
  const nothing = {...learning, version: 0, digest: ''};
  const lower = {...beat, ...stale};
  t.deepEqual(run({a: beat, x: beat}, 3, 0), [3, true]);
  t.deepEqual(run({a: beat, x: lower}, 3, 0), [3, true]);
  t.deepEqual(run({a: beat, c: beat}, 3, 0), [undefined, false]);
  t.deepEqual(run({a: beat, x: learning}, 3, 0), [undefined, false]);
  t.deepEqual(run({a: beat, x: beat}, 1, 60_000), [undefined, false]);
  t.deepEqual(run({a: learning}, 3, LEARN_WINDOW_MS - 1), [undefined, false]);
  t.deepEqual(run({a: learning}, 3, LEARN_WINDOW_MS), [3, true]);
  t.deepEqual(run({a: lower}, 3, LEARN_WINDOW_MS), [3, true]);
  t.deepEqual(run({a: nothing}, 1, LEARN_WINDOW_MS), [undefined, false]);
  t.deepEqual(run({a: nothing}, 1, LEARN_ALONE_MS), [1, false]);
  t.deepEqual(run({}, 0, LEARN_ALONE_MS), [undefined, false]);
});

test('a pause is no time in which peers could have reported', t => {
  const board = createLinked('b', ['a']);
  board.config.current = createVersion(1, 1, exampleDocument());
  updateInForce(board, 0);
  updateInForce(board, LEARN_ALONE_MS * 10);
  t.is(board.config.inForce, undefined);
});

test('an unconfirmed version is confirmed by a peer, and a higher one wins', t => {
  const {board: ahead, old} = createAhead(['b']);
  const [board] = old;
  for (let now = 0; now <= LEARN_ALONE_MS; now += TICK_MS) {
    updateInForce(board, now);
  }
  t.deepEqual(
    [board.config.inForce?.version, board.config.confirmed],
    [1, false],
  );
  const [want] = handleBeatConfig(board, 'a', beatOf(ahead, 0), 6_000);
  t.deepEqual(kindsOf([want]), ['want to a']);
  t.false(board.config.confirmed);
  const [sent] = handleWant(ahead, 'b', wantOf(board), 6_000);
  if (sent.kind !== 'send') return t.fail();
  dispatch(board, 'a', sent.msg, 6_000);
  t.deepEqual(
    [board.config.inForce?.version, board.config.confirmed],
    [3, true],
  );
});
