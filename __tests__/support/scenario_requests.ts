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
  resolveBoundKeyOutcome,
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

const SHARED_KEY = 'shared-key-of-the-scenarios';
const NETWORK_DELAY_MS = 1;
const CONNECT_TIMEOUT_MS = 1_000;
const SERVICE_MS = 60;
const REPEAT_INTERVAL_MS = 700;
const POLL_MS = 50;

/** Simulated execution of an operation at an upstream. */
export interface SimulatedRun {
  operation: string;
  upstream: string;
  startedAt: number;
}

/** Simulated customer requests over the in-memory network. */
export interface SimulatedRequests {
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

/** Request in progress; it uses the version that was in force at its start. */
interface PendingRequest {
  readonly operation: string;
  readonly entry: Node;
  readonly version: Version;
  readonly matched: MatchedRoute;
  readonly deadlineAt: number;
  readonly key?: BoundKey;
  readonly triedOwners: Set<string>;
  attempts: number;
  retryBudget: number;
  /** Whether an attempt may have run. */
  mayHaveRun: boolean;
  ended: boolean;
}

/**
 * Simulates entries and owners with the core functions for routes, retries and
 * keys, each side on its own view. Sockets, admission and queues are omitted.
 */
export function simulateRequests(
  network: Network,
  cutOff: ReadonlySet<string>,
): SimulatedRequests {
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
  const getMonotonicMs = (node: Node) => network.now + node.monoMs;
  const getWallMs = (node: Node) => Date.now() + node.skewMs;
  const isPartitioned = (a: Node, b: Node) =>
    cutOff.has(a.id) !== cutOff.has(b.id);

  function getRouting(node: Node): RoutingState {
    const state = routing.get(node) ?? createRoutingState();
    routing.set(node, state);
    return state;
  }

  function getKeyTable(node: Node): KeyTable {
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
        else sendWithKey(load, entries, operation);
      });
    }
  }

  /** Chooses a random reachable entry, as a customer would. */
  function chooseEntry(entries: readonly string[]): Node | undefined {
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
    const entry = chooseEntry(entries);
    if (!entry) return;
    counts.sent++;
    if (checkPause(entry.board, getMonotonicMs(entry))) {
      return countFailed('staleView', false);
    }
    const version = entry.board.config.inForce;
    if (!version) return countFailed('noConfig', false);
    const matched = matchRoute(version.document, method, path);
    if (!matched) return countFailed('unknownRoute', false);
    attempt({
      operation,
      entry,
      version,
      matched,
      deadlineAt: network.now + matched.route.timeoutMs,
      key,
      triedOwners: new Set(),
      attempts: 0,
      retryBudget: RETRY_BUDGET,
      mayHaveRun: false,
      ended: false,
    });
  }

  function sendWithKey(
    load: StepArgs<'load'>,
    entries: readonly string[],
    operation: string,
  ): void {
    const key = mintBoundKey(load, entries, operation);
    if (!key) return;
    for (let i = 0; i <= load.repeats; i++) {
      network.after(i * REPEAT_INTERVAL_MS, () =>
        send(load, entries, operation, key),
      );
    }
  }

  function mintBoundKey(
    {path, method}: StepArgs<'load'>,
    entries: readonly string[],
    operation: string,
  ): BoundKey | undefined {
    const entry = chooseEntry(entries);
    const document = entry?.board.config.inForce?.document;
    const matched = document && matchRoute(document, method, path);
    const owner = matched && chooseOwner(entry!, matched, document, new Set());
    if (!owner || owner.boot === '') return undefined;
    const text = mintKey(SHARED_KEY, {
      owner: owner.id,
      boot: owner.boot,
      expiresAt: Math.floor(getWallMs(entry!)) + KEY_LIFETIME_MS,
      nonce: operation.replace(/\W/g, '-'),
    });
    return parseKey(SHARED_KEY, text);
  }

  function chooseOwner(
    entry: Node,
    {route}: MatchedRoute,
    document: Version['document'],
    tried: ReadonlySet<string>,
  ): MemberRecord | undefined {
    const {dataCentre, region} = entry.board.self;
    return chooseUpstream(
      getRouting(entry),
      findCandidates(document, route.service, listMembers(entry.board)),
      {dataCentre, region, tried},
      network.random,
      getMonotonicMs(entry),
    );
  }

  function chooseTarget(pending: PendingRequest): MemberRecord | undefined {
    const {entry, matched, version, triedOwners, key} = pending;
    if (!key) return chooseOwner(entry, matched, version.document, triedOwners);
    return listMembers(entry.board).find(({id}) => id === key.owner);
  }

  function attempt(pending: PendingRequest): void {
    const target = chooseTarget(pending);
    if (!target) return fail(pending, 'noUpstream');
    pending.attempts++;
    pending.triedOwners.add(target.id);
    recordSent(getRouting(pending.entry), target);
    const owner = network.getNode(target.id);
    if (!owner || isPartitioned(pending.entry, owner)) {
      return schedule(CONNECT_TIMEOUT_MS, () =>
        failConnect(pending, target.id),
      );
    }
    schedule(NETWORK_DELAY_MS, () => {
      if (owner.alive) deliver(pending, owner);
      else failConnect(pending, target.id);
    });
  }

  function failConnect(pending: PendingRequest, target: string): void {
    countFailure(
      getRouting(pending.entry),
      target,
      getMonotonicMs(pending.entry),
    );
    fail(pending, 'connectFailed');
  }

  /** Delivers a request that has been sent; from here on it may have run. */
  function deliver(pending: PendingRequest, owner: Node): void {
    if (network.now >= pending.deadlineAt) {
      return fail(pending, 'deadlineAfterSend');
    }
    if (!owner.alive) return fail(pending, 'connectionBroken');
    // A paused process reads the request from its socket when it resumes.
    if (owner.paused) return schedule(POLL_MS, () => deliver(pending, owner));
    const refusal = findRefusal(pending, owner);
    if (refusal) return fail(pending, refusal, true);
    runs.push({
      operation: pending.operation,
      upstream: owner.id,
      startedAt: network.now,
    });
    schedule(SERVICE_MS, () => answer(pending, owner));
  }

  function findRefusal(
    pending: PendingRequest,
    owner: Node,
  ): Outcome | undefined {
    const {board} = owner;
    if (checkPause(board, getMonotonicMs(owner))) return 'staleView';
    if (board.self.state === 'leaving') return 'leaving';
    const {dataCentres} = board.config.inForce?.document ?? {};
    if (dataCentres?.[owner.dataCentre]?.state === 'out') {
      return 'dataCentreOut';
    }
    if (!pending.key) return undefined;
    const decision = beginKey(
      getKeyTable(owner),
      pending.key,
      board.self,
      getWallMs(owner),
    );
    if (decision.kind === 'start') return undefined;
    if (decision.kind === 'refused') return decision.outcome;
    return 'keyMayHaveRun';
  }

  function answer(pending: PendingRequest, owner: Node): void {
    if (!owner.alive) return fail(pending, 'connectionBroken');
    if (pending.key) {
      finishKey(getKeyTable(owner), pending.key, {kind: 'ran', status: 200});
    }
    if (network.now >= pending.deadlineAt) {
      return fail(pending, 'deadlineAfterSend');
    }
    if (owner.paused || isPartitioned(pending.entry, owner)) {
      return schedule(POLL_MS, () => answer(pending, owner));
    }
    recordReply(
      getRouting(pending.entry),
      owner.id,
      undefined,
      getMonotonicMs(pending.entry),
    );
    if (!pending.ended) counts.answered++;
    pending.ended = true;
  }

  /** `refusedByOwner` means that the owner confirmed it did not run. */
  function fail(
    pending: PendingRequest,
    outcome: Outcome,
    refusedByOwner = false,
  ): void {
    if (pending.ended) return;
    pending.mayHaveRun ||= OUTCOMES[outcome].verdict === 'mayHaveRun';
    const retries = shouldRetry({
      outcome,
      idempotent: pending.matched.route.idempotent,
      budget: pending.retryBudget,
      attempts: pending.attempts,
      remainingMs: pending.deadlineAt - network.now,
    });
    if (retries && pending.entry.alive) {
      pending.retryBudget--;
      return attempt(pending);
    }
    pending.ended = true;
    const isBound = pending.key && !refusedByOwner;
    countFailed(
      isBound ? resolveBoundKeyOutcome(outcome) : outcome,
      pending.mayHaveRun,
    );
  }

  function countFailed(outcome: Outcome, mayHaveRun: boolean): void {
    if (mayHaveRun || OUTCOMES[outcome].verdict === 'mayHaveRun') {
      counts.unclear++;
      return;
    }
    counts.refused++;
    const reason = formatReason(outcome);
    counts.reasons[reason] = (counts.reasons[reason] ?? 0) + 1;
  }

  function schedule(ms: number, work: () => void): void {
    network.after(ms, work);
  }

  function countRuns(): Map<string, number> {
    const runsByOperation = new Map<string, number>();
    for (const {operation} of runs) {
      runsByOperation.set(operation, (runsByOperation.get(operation) ?? 0) + 1);
    }
    return runsByOperation;
  }

  return {runs, counts, startLoad, countRuns};
}
