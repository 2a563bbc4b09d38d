import {
  beginKey,
  checkPause,
  chooseUpstream,
  createKeyTable,
  createRoutingState,
  shouldRetry,
  findCandidates,
  finishKey,
  formatReason,
  KEY_LIFETIME_MS,
  listMembers,
  matchRoute,
  mintKey,
  countFailure,
  recordReply,
  recordSent,
  outcomeForBoundKey,
  OUTCOMES,
  parseKey,
  RETRY_BUDGET,
  type BoundKey,
  type KeyTable,
  type MatchedRoute,
  type MemberRecord,
  type Outcome,
  type RoutingState,
  type Version,
} from '../../src/internal.js';
import type {StepArgs} from '../../standins/scenario.js';
import type {Network, Node} from './network.js';

const SECRET = 'shared-key-of-the-scenarios';
const HOP_MS = 1;
const CONNECT_TIMEOUT_MS = 1_000;
const SERVICE_MS = 60;
const REPEAT_AFTER_MS = 700;
const WATCH_MS = 50;

/** One run of an operation at an upstream. */
export interface SimulatedRun {
  operation: string;
  upstream: string;
  at: number;
}

/** Requests of customers over the in-memory network. */
export interface Requests {
  readonly runs: readonly SimulatedRun[];
  readonly counts: Readonly<{
    sent: number;
    answered: number;
    refused: number;
    unclear: number;
    reasons: Record<string, number>;
  }>;
  startLoad(load: StepArgs<'load'>, entries: readonly string[]): void;
  countRuns(): Map<string, number>;
}

/** A request on its way; it keeps the version that it started under. */
interface Flight {
  readonly operation: string;
  readonly entry: Node;
  readonly version: Version;
  readonly matched: MatchedRoute;
  readonly deadlineAt: number;
  readonly key?: BoundKey;
  readonly tried: Set<string>;
  attempts: number;
  budget: number;
  /** True when an attempt may have run. */
  mayHaveRun: boolean;
  ended: boolean;
}

/**
 * Creates a model of entries and owners on the core functions for routes,
 * retries and keys. Sockets, admission and queues are left out; what counts
 * here is which view each side acts on.
 */
export function createRequests(
  network: Network,
  cutOff: ReadonlySet<string>,
): Requests {
  const runs: SimulatedRun[] = [];
  const counts = {
    sent: 0,
    answered: 0,
    refused: 0,
    unclear: 0,
    reasons: {} as Record<string, number>,
  };
  const routing = new WeakMap<Node, RoutingState>();
  const keys = new WeakMap<Node, KeyTable>();
  const monoOf = (node: Node) => network.now + node.monoMs;
  const wallOf = (node: Node) => Date.now() + node.skewMs;
  const isCut = (a: Node, b: Node) => cutOff.has(a.id) !== cutOff.has(b.id);

  function routingOf(node: Node): RoutingState {
    const state = routing.get(node) ?? createRoutingState();
    routing.set(node, state);
    return state;
  }

  function keysOf(node: Node): KeyTable {
    const table = keys.get(node) ?? createKeyTable();
    keys.set(node, table);
    return table;
  }

  function startLoad(load: StepArgs<'load'>, entries: readonly string[]): void {
    const total = Math.round((load.perSecond * load.for) / 1_000);
    const first = counts.sent;
    for (let i = 0; i < total; i++) {
      const operation = `${load.path}#${first + i}`;
      network.after((i * 1_000) / load.perSecond, () => {
        if (load.repeats === 0) send(load, entries, operation);
        else sendKeyed(load, entries, operation);
      });
    }
  }

  /** Customers skip entries that they cannot reach. */
  function pickEntry(entries: readonly string[]): Node | undefined {
    const usable = entries
      .map(id => network.getNode(id))
      .filter(node => node.alive && !node.paused);
    return usable[Math.floor(network.random() * usable.length)];
  }

  function send(
    {path, method}: StepArgs<'load'>,
    entries: readonly string[],
    operation: string,
    key?: BoundKey,
  ): void {
    const entry = pickEntry(entries);
    if (!entry) return;
    counts.sent++;
    if (checkPause(entry.board, monoOf(entry))) {
      return countEnd('staleView', false);
    }
    const version = entry.board.config.inForce;
    if (!version) return countEnd('noConfig', false);
    const matched = matchRoute(version.document, method, path);
    if (!matched) return countEnd('unknownRoute', false);
    attempt({
      operation,
      entry,
      version,
      matched,
      deadlineAt: network.now + matched.route.timeoutMs,
      key,
      tried: new Set(),
      attempts: 0,
      budget: RETRY_BUDGET,
      mayHaveRun: false,
      ended: false,
    });
  }

  function sendKeyed(
    load: StepArgs<'load'>,
    entries: readonly string[],
    operation: string,
  ): void {
    const key = mint(load, entries, operation);
    if (!key) return;
    for (let i = 0; i <= load.repeats; i++) {
      network.after(i * REPEAT_AFTER_MS, () =>
        send(load, entries, operation, key),
      );
    }
  }

  function mint(
    {path, method}: StepArgs<'load'>,
    entries: readonly string[],
    operation: string,
  ): BoundKey | undefined {
    const entry = pickEntry(entries);
    const document = entry?.board.config.inForce?.document;
    const matched = document && matchRoute(document, method, path);
    const owner = matched && choose(entry!, matched, document, new Set());
    if (!owner || owner.boot === '') return undefined;
    const text = mintKey(SECRET, {
      owner: owner.id,
      boot: owner.boot,
      expiresAt: Math.floor(wallOf(entry!)) + KEY_LIFETIME_MS,
      nonce: operation.replace(/\W/g, '-'),
    });
    return parseKey(SECRET, text);
  }

  function choose(
    entry: Node,
    {route}: MatchedRoute,
    document: Version['document'],
    tried: ReadonlySet<string>,
  ): MemberRecord | undefined {
    const {dataCentre, region} = entry.board.self;
    return chooseUpstream(
      routingOf(entry),
      findCandidates(document, route.service, listMembers(entry.board)),
      {dataCentre, region, tried},
      network.random,
      monoOf(entry),
    );
  }

  function chooseTarget(flight: Flight): MemberRecord | undefined {
    const {entry, matched, version, tried, key} = flight;
    if (!key) return choose(entry, matched, version.document, tried);
    return listMembers(entry.board).find(({id}) => id === key.owner);
  }

  function attempt(flight: Flight): void {
    const target = chooseTarget(flight);
    if (!target) return fail(flight, 'noUpstream');
    flight.attempts++;
    flight.tried.add(target.id);
    recordSent(routingOf(flight.entry), target);
    const owner = network.getNode(target.id);
    if (!owner || isCut(flight.entry, owner)) {
      return later(CONNECT_TIMEOUT_MS, () => failConnect(flight, target.id));
    }
    later(HOP_MS, () => {
      if (owner.alive) deliver(flight, owner);
      else failConnect(flight, target.id);
    });
  }

  function failConnect(flight: Flight, target: string): void {
    countFailure(routingOf(flight.entry), target, monoOf(flight.entry));
    fail(flight, 'connectFailed');
  }

  /** The request has been written: from here on it may have run. */
  function deliver(flight: Flight, owner: Node): void {
    if (network.now >= flight.deadlineAt) {
      return fail(flight, 'deadlineAfterSend');
    }
    if (!owner.alive) return fail(flight, 'connectionBroken');
    // A paused process finds the request in its socket when it resumes.
    if (owner.paused) return later(WATCH_MS, () => deliver(flight, owner));
    const refusal = judge(flight, owner);
    if (refusal) return fail(flight, refusal, true);
    runs.push({
      operation: flight.operation,
      upstream: owner.id,
      at: network.now,
    });
    later(SERVICE_MS, () => answer(flight, owner));
  }

  function judge(flight: Flight, owner: Node): Outcome | undefined {
    const {board} = owner;
    if (checkPause(board, monoOf(owner))) return 'staleView';
    if (board.self.state === 'leaving') return 'leaving';
    const {dataCentres} = board.config.inForce?.document ?? {};
    if (dataCentres?.[owner.dataCentre]?.state === 'out') {
      return 'dataCentreOut';
    }
    if (!flight.key) return undefined;
    const decision = beginKey(
      keysOf(owner),
      flight.key,
      board.self,
      wallOf(owner),
    );
    if (decision.kind === 'start') return undefined;
    if (decision.kind === 'refused') return decision.outcome;
    return 'keyMayHaveRun';
  }

  function answer(flight: Flight, owner: Node): void {
    if (!owner.alive) return fail(flight, 'connectionBroken');
    if (flight.key) {
      finishKey(keysOf(owner), flight.key, {kind: 'ran', status: 200});
    }
    if (network.now >= flight.deadlineAt) {
      return fail(flight, 'deadlineAfterSend');
    }
    if (owner.paused || isCut(flight.entry, owner)) {
      return later(WATCH_MS, () => answer(flight, owner));
    }
    recordReply(
      routingOf(flight.entry),
      owner.id,
      undefined,
      monoOf(flight.entry),
    );
    if (!flight.ended) counts.answered++;
    flight.ended = true;
  }

  /** Without `vouched` no owner has said that the request did not run. */
  function fail(flight: Flight, outcome: Outcome, vouched = false): void {
    if (flight.ended) return;
    flight.mayHaveRun ||= OUTCOMES[outcome].verdict === 'mayHaveRun';
    const retries = shouldRetry({
      outcome,
      idempotent: flight.matched.route.idempotent,
      budget: flight.budget,
      attempts: flight.attempts,
      remainingMs: flight.deadlineAt - network.now,
    });
    if (retries && flight.entry.alive) {
      flight.budget--;
      return attempt(flight);
    }
    flight.ended = true;
    const isBound = flight.key && !vouched;
    countEnd(
      isBound ? outcomeForBoundKey(outcome) : outcome,
      flight.mayHaveRun,
    );
  }

  function countEnd(outcome: Outcome, mayHaveRun: boolean): void {
    if (mayHaveRun || OUTCOMES[outcome].verdict === 'mayHaveRun') {
      counts.unclear++;
      return;
    }
    counts.refused++;
    const reason = formatReason(outcome);
    counts.reasons[reason] = (counts.reasons[reason] ?? 0) + 1;
  }

  function later(ms: number, work: () => void): void {
    network.after(ms, work);
  }

  function countRuns(): Map<string, number> {
    const perOperation = new Map<string, number>();
    for (const {operation} of runs) {
      perOperation.set(operation, (perOperation.get(operation) ?? 0) + 1);
    }
    return perOperation;
  }

  return {runs, counts, startLoad, countRuns};
}
