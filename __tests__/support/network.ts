import FakeTimers from '@sinonjs/fake-timers';
import {
  applyEntries,
  computeDigest,
  createBoard,
  createConfigState,
  createRandom,
  handleLinkDown,
  handleLinkUp,
  handleList,
  handleMessage,
  handleSourceError,
  handleSourceReply,
  handleTick,
  listMembers,
  readRemoteReason,
  TICK_MS,
  type Board,
  type Document,
  type Effect,
  type Entry,
  type MemberRecord,
  type PeerMessage,
  type Random,
} from '../../src/internal.js';
import {createEventQueue, type EventQueue} from './queue.js';

const START_MS = Date.UTC(2026, 0, 1);
const DIAL_TIMEOUT_MS = 3_000;

/** One daemon process; a restart creates a new one with the same id. */
export interface Node {
  readonly id: string;
  readonly board: Board;
  readonly dataCentre: string;
  alive: boolean;
  paused: boolean;
  /** Calls deferred while paused. */
  inbox: Array<() => void>;
  /** Offset of its wall clock, ms. */
  skewMs: number;
  /** Offset of its monotonic clock, ms. */
  readonly monoMs: number;
  /** Highest version in force so far, to detect a rollback. */
  highestVersion: number;
}

/** Link faults, each as a probability per message. */
export interface LinkFaults {
  drop: number;
  duplicate: number;
  reorder: number;
}

/** Faults of the fake configuration service. */
export interface SourceFaults {
  down: boolean;
  /** Highest index served. */
  staleAt?: number;
  /** Probability that a reply comes from an older copy. */
  backwards: number;
  slowMs: number;
}

/** Options of a simulated network. */
export interface NetworkOptions {
  seed: number;
  /** Number of daemons by data centre. */
  dataCentres: Record<string, number>;
  regionOf?: (dataCentre: string) => string;
  delayMs?: (from: Node, to: Node) => number;
  listLagMs?: number;
  document: Document;
  onSend?: (from: Node, to: string, msg: PeerMessage) => void;
  onVersion?: (node: Node, version: number, at: number) => void;
  /** Wraps each controller call for measurement. */
  measure?: <T>(kind: string, call: () => T) => T;
}

interface Channel {
  readonly ends: readonly [Node, Node];
  readonly open: Map<Node, boolean>;
  /** Time of the last delivery to each end; preserves message order. */
  readonly lastAt: Map<Node, number>;
}

/** Simulated network of daemons with in-memory links and a fake clock. */
export class Network {
  readonly nodes = new Map<string, Node>();
  readonly faults: LinkFaults = {drop: 0, duplicate: 0, reorder: 0};
  readonly source: SourceFaults = {down: false, backwards: 0, slowMs: 2};
  readonly entries: Entry[] = [];
  /** Configuration that every daemon should converge to. */
  readonly expectedConfig = createConfigState();
  readonly random: Random;
  /** Call counts of the configuration service and the instance list. */
  readonly calls = {source: 0, list: 0, listRecords: 0};
  private readonly clock = FakeTimers.install({
    now: START_MS,
    toFake: ['Date'],
  });
  private readonly queue: EventQueue = createEventQueue();
  private readonly channels = new Map<string, Channel>();
  private readonly listed = new Map<string, MemberRecord>();
  private polls: Array<{after: number; answer: () => void}> = [];
  /** True for pairs that cannot exchange messages. */
  private isCut: (a: Node, b: Node) => boolean = () => false;
  private isSourceCut: (node: Node) => boolean = () => false;
  now = 0;

  constructor(private readonly options: NetworkOptions) {
    this.random = createRandom(options.seed);
    this.publishSnapshot(1, options.document);
    for (const [dataCentre, size] of Object.entries(options.dataCentres)) {
      for (let i = 0; i < size; i++) this.start(`${dataCentre}-${i}`);
    }
  }

  /** Restores the real clock. */
  stop(): void {
    this.clock.uninstall();
  }

  /** Advances the fake time. */
  run(ms: number): void {
    const end = this.now + ms;
    for (;;) {
      const event = this.queue.popUntil(end);
      if (event === undefined) break;
      this.advance(event.at);
      event.run();
    }
    this.advance(end);
  }

  /** Runs until the condition holds; returns the time taken or undefined. */
  runUntil(condition: () => boolean, limitMs: number): number | undefined {
    const start = this.now;
    while (!condition()) {
      if (this.now - start >= limitMs) return undefined;
      this.run(50);
    }
    return this.now - start;
  }

  private advance(to: number): void {
    this.clock.setSystemTime(START_MS + to);
    this.now = to;
  }

  /** Schedules work after a delay of fake time. */
  after(ms: number, run: () => void): void {
    this.queue.push(this.now + ms, run);
  }

  /** Starts a daemon with empty memory. */
  start(id: string, skewMs = 0): Node {
    const dataCentre = id.slice(0, id.lastIndexOf('-'));
    const monoMs = Math.floor(this.random() * 1e6);
    const region = this.options.regionOf?.(dataCentre) ?? 'r1';
    const self: MemberRecord = {
      id,
      incarnation: Math.floor(START_MS + this.now + skewMs),
      boot: Math.floor(this.random() * 2 ** 48)
        .toString(16)
        .padStart(16, '0'),
      dataCentre,
      region,
      service: `s${Number(id.slice(id.lastIndexOf('-') + 1)) % 3}`,
      host: '127.0.0.1',
      customerPort: 8_000,
      peerPort: 8_001,
      state: 'live',
    };
    const random = createRandom(Math.floor(this.random() * 2 ** 32));
    const node: Node = {
      id,
      board: createBoard(self, random, this.now + monoMs),
      dataCentre,
      alive: true,
      paused: false,
      inbox: [],
      skewMs,
      monoMs,
      highestVersion: 0,
    };
    this.nodes.set(id, node);
    this.after(this.options.listLagMs ?? 0, () => this.listed.set(id, self));
    this.after(this.random() * TICK_MS, () => this.tick(node));
    return node;
  }

  /** Stops a process and resets its links, as the kernel would. */
  kill(id: string, unlist = false): void {
    const node = this.getNode(id);
    node.alive = false;
    for (const channel of this.channels.values()) {
      if (!channel.ends.includes(node)) continue;
      this.closeEnd(channel, node, 'closed');
    }
    if (!unlist) return;
    this.after(this.options.listLagMs ?? 0, () => this.listed.delete(id));
  }

  /** Replaces a process with a new one with empty memory. */
  restart(id: string, skewMs = 0): Node {
    if (this.getNode(id).alive) this.kill(id);
    return this.start(id, skewMs);
  }

  pause(id: string): void {
    this.getNode(id).paused = true;
  }

  resume(id: string): void {
    const node = this.getNode(id);
    node.paused = false;
    for (const work of node.inbox.splice(0)) this.after(0, work);
  }

  /** Partitions the daemons in the group from all others. */
  cut(inGroup: (node: Node) => boolean, withSource = false): void {
    this.isCut = (a, b) => inGroup(a) !== inGroup(b);
    this.isSourceCut = withSource ? inGroup : () => false;
  }

  heal(): void {
    this.isCut = () => false;
    this.isSourceCut = () => false;
  }

  getNode(id: string): Node {
    return this.nodes.get(id)!;
  }

  getLiveNodes(): Node[] {
    return [...this.nodes.values()].filter(node => node.alive);
  }

  /** True if all running daemons have the newest accepted version in force. */
  isConverged(nodes: Node[] = this.getLiveNodes()): boolean {
    const {version, digest} = this.expectedConfig.current!;
    return nodes.every(({board, paused}) => {
      const {inForce} = board.config;
      return (
        paused || (inForce?.version === version && inForce.digest === digest)
      );
    });
  }

  /** True when every running daemon sees exactly the running processes. */
  isMutuallyKnown(): boolean {
    const boots = this.getLiveNodes().map(({board}) => board.self.boot);
    return this.getLiveNodes().every(({board}) => {
      const live = listMembers(board, {states: ['live']});
      const seen = new Set(live.map(({boot}) => boot));
      return seen.size === boots.length && boots.every(boot => seen.has(boot));
    });
  }

  /** Publishes a full document as a snapshot. */
  publishSnapshot(version: number, document: Document): void {
    const digest = computeDigest(document);
    const value = {version, digest, document, author: 'test', note: ''};
    this.publish('snapshot', value);
  }

  /** Publishes a patch that sets the timeout of a route. */
  publishTimeout(route: string, timeoutMs: number, base?: number): void {
    const {version, digest} = this.expectedConfig.current!;
    const path = `/routes/${route}/timeoutMs`;
    this.publish('patch', {
      base: base ?? version,
      baseDigest: digest,
      ops: [{op: 'replace', path, value: timeoutMs}],
      author: 'test',
      note: '',
    });
  }

  /** Appends an entry to the series, valid or not. */
  publish(kind: string, value: unknown): void {
    const prev = this.entries.at(-1)?.index ?? 0;
    const entry = {index: prev + 1, prev, kind, value};
    this.entries.push(entry);
    applyEntries(this.expectedConfig, [entry]);
    const waiting = this.polls;
    this.polls = [];
    for (const poll of waiting) poll.answer();
  }

  private tick(node: Node): void {
    if (!node.alive) return;
    this.after(TICK_MS, () => this.tick(node));
    if (node.paused) return;
    this.call(node, 'tick', now => handleTick(node.board, now));
  }

  /**
   * Calls a controller with the clocks of the daemon and executes its effects;
   * deferred while the daemon is paused.
   */
  call(node: Node, kind: string, controller: (now: number) => Effect[]): void {
    if (!node.alive) return;
    if (node.paused) {
      node.inbox.push(() => this.call(node, kind, controller));
      return;
    }
    this.clock.setSystemTime(START_MS + this.now + node.skewMs);
    const measure = this.options.measure ?? ((_, call) => call());
    const effects = measure(kind, () => controller(this.now + node.monoMs));
    this.clock.setSystemTime(START_MS + this.now);
    this.checkVersion(node);
    for (const effect of effects) this.execute(node, effect);
  }

  private checkVersion(node: Node): void {
    const version = node.board.config.inForce?.version ?? 0;
    if (version === node.highestVersion) return;
    if (version < node.highestVersion) {
      throw new Error(
        `${node.id} rolled back from ${node.highestVersion} to ${version}`,
      );
    }
    node.highestVersion = version;
    this.options.onVersion?.(node, version, this.now);
  }

  private execute(node: Node, effect: Effect): void {
    switch (effect.kind) {
      case 'send':
        return this.send(node, effect.to, effect.msg);
      case 'dial':
        return this.dial(node, effect.to.id);
      case 'readSource':
        return this.readSource(node, effect);
      case 'readList':
        return this.readList(node);
      case 'close': {
        const channel = this.findChannel(node, effect.to);
        if (channel) this.closeEnd(channel, node, effect.reason);
      }
    }
  }

  private findChannel(node: Node, peer: string): Channel | undefined {
    const channel = this.channels.get(pairKey(node.id, peer));
    return channel?.ends.includes(node) ? channel : undefined;
  }

  private delay(from: Node, to: Node): number {
    return this.options.delayMs?.(from, to) ?? 0.5 + this.random();
  }

  private send(node: Node, peer: string, msg: PeerMessage): void {
    const channel = this.findChannel(node, peer);
    if (channel === undefined || !channel.open.get(node)) return;
    this.options.onSend?.(node, peer, msg);
    const to = otherEnd(channel, node);
    if (this.isCut(node, to) || this.random() < this.faults.drop) return;
    let at = this.now + this.delay(node, to);
    if (this.random() < this.faults.reorder) at += this.random() * 300;
    else at = Math.max(at, channel.lastAt.get(to) ?? 0);
    channel.lastAt.set(to, at);
    const copies = this.random() < this.faults.duplicate ? 2 : 1;
    for (let i = 0; i < copies; i++) {
      this.queue.push(at, () => this.deliver(channel, node, to, msg));
    }
  }

  private deliver(
    channel: Channel,
    from: Node,
    to: Node,
    msg: PeerMessage,
  ): void {
    if (!channel.open.get(to)) {
      this.resetEnd(channel, from, 'closed');
      return;
    }
    this.call(to, msg.t, now => handleMessage(to.board, from.id, msg, now));
  }

  private dial(node: Node, peer: string): void {
    const target = this.getNode(peer);
    const fail = (ms: number): void =>
      this.after(ms, () =>
        this.call(node, 'dial', now =>
          handleLinkDown(node.board, peer, 'dial-failed', now),
        ),
      );
    const isSilent = this.isCut(node, target) || target.paused;
    if (isSilent) return fail(DIAL_TIMEOUT_MS);
    const rtt = 2 * this.delay(node, target);
    if (!target.alive) return fail(rtt);
    this.after(rtt, () => {
      if (!node.alive || node.paused) return;
      if (!target.alive || target.paused || this.isCut(node, target)) {
        return fail(DIAL_TIMEOUT_MS);
      }
      this.connect(node, target);
    });
  }

  private connect(node: Node, target: Node): void {
    const old = this.channels.get(pairKey(node.id, target.id));
    if (old && old.open.get(node) && old.open.get(target)) return;
    const ends = [node, target] as const;
    const open = new Map(ends.map(end => [end, true]));
    this.channels.set(pairKey(node.id, target.id), {
      ends,
      open,
      lastAt: new Map(),
    });
    for (const [end, other] of [
      [target, node],
      [node, target],
    ]) {
      this.call(end, 'linkUp', now =>
        handleLinkUp(end.board, other.board.self, end === node, now),
      );
    }
  }

  /** Closes one end of a link, and the other end unless it is cut off. */
  private closeEnd(channel: Channel, node: Node, reason: string): void {
    const other = otherEnd(channel, node);
    this.resetEnd(channel, node, reason);
    if (this.isCut(node, other)) return;
    this.after(this.delay(node, other), () =>
      this.resetEnd(channel, other, readRemoteReason(reason)),
    );
  }

  private resetEnd(channel: Channel, node: Node, reason: string): void {
    if (!channel.open.get(node)) return;
    channel.open.set(node, false);
    const peer = otherEnd(channel, node).id;
    this.call(node, 'linkDown', now =>
      handleLinkDown(node.board, peer, reason, now),
    );
  }

  private readSource(
    node: Node,
    effect: {after: number; waitMs: number},
  ): void {
    this.calls.source++;
    const {down, backwards, slowMs, staleAt} = this.source;
    const fail = (): void =>
      this.call(node, 'source', now => handleSourceError(node.board, now));
    if (this.isSourceCut(node)) return this.after(DIAL_TIMEOUT_MS, fail);
    if (down) return this.after(5, fail);
    let visible = Math.min(staleAt ?? Infinity, this.newestIndex());
    if (this.random() < backwards) {
      visible = Math.floor(this.random() * visible);
    }
    if (visible !== effect.after || visible < this.newestIndex()) {
      return this.after(slowMs, () => this.reply(node, effect.after, visible));
    }
    const poll = {after: effect.after, answer: () => {}};
    poll.answer = () => {
      poll.answer = () => {};
      this.after(slowMs, () =>
        this.reply(node, effect.after, this.newestIndex()),
      );
    };
    this.polls.push(poll);
    this.after(effect.waitMs, () => {
      this.polls = this.polls.filter(other => other !== poll);
      poll.answer();
    });
  }

  private newestIndex(): number {
    return this.entries.at(-1)?.index ?? 0;
  }

  private reply(node: Node, after: number, index: number): void {
    // A read pending when the partition or outage began gets no reply.
    if (this.isSourceCut(node) || this.source.down) {
      return this.after(DIAL_TIMEOUT_MS, () =>
        this.call(node, 'source', now => handleSourceError(node.board, now)),
      );
    }
    const entries = this.entries.filter(
      entry => entry.index > after && entry.index <= index,
    );
    this.call(node, 'source', now =>
      handleSourceReply(node.board, {index, entries}, now),
    );
  }

  private readList(node: Node): void {
    this.calls.list++;
    if (this.isSourceCut(node)) return;
    const records = [...this.listed.values()].map(record => ({
      ...record,
      incarnation: 0,
      boot: '',
    }));
    this.calls.listRecords += records.length;
    this.after(5, () =>
      this.call(node, 'list', now => handleList(node.board, records, now)),
    );
  }
}

function otherEnd(channel: Channel, node: Node): Node {
  return channel.ends[0] === node ? channel.ends[1] : channel.ends[0];
}

function pairKey(a: string, b: string): string {
  return a < b ? `${a} ${b}` : `${b} ${a}`;
}
