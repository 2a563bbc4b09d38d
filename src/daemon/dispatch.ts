import {
  FORWARD_PREFIX,
  HEADERS,
  MEMBER_STATES,
  startIsolatedRun,
  chooseUpstream,
  combineOutcomes,
  computeOwnerDeadline,
  count,
  shouldRetry,
  endIsolatedRun,
  findCandidates,
  formatHlc,
  classifyRequest,
  listMembers,
  countFailure,
  recordFinished,
  recordReply,
  recordSent,
  markUnavailable,
  rankByRendezvous,
  recordEvent,
  reportCrashes,
  selectPriority,
  sign,
  tickHlc,
  type SuspectDecision,
  type MemberRecord,
  type Outcome,
} from '../internal.js';
import {startAttempt, type AttemptResult} from './attempt.js';
import {
  announceClose,
  refuse,
  type EntryState,
  type Exchange,
} from './exchange.js';
import type {ForwardRequest} from './forward.js';
import type {CustomerRequest} from './customer_request.js';

/** Interval at which a waiting suspect request is checked again, ms. */
const SUSPECT_POLL_MS = 20;

/** Checks of a waiting suspect request before its refusal; 1 s in total. */
const MAX_SUSPECT_POLLS = 50;

/** Outcomes after which an owner is treated as full for a while. */
const UNAVAILABLE = new Set<Outcome>([
  'dataCentreOut',
  'deadlineAfterSend',
  'leaving',
  'staleView',
  'upstreamCrashed',
  'upstreamDown',
  'wrongOwner',
]);

/** Sends a validated request to owners until it is answered or refused. */
export async function dispatchRequest(
  state: EntryState,
  exchange: Exchange,
  request: CustomerRequest,
): Promise<void> {
  while (!exchange.finished) {
    const decision = await awaitSuspectDecision(state, exchange);
    if (exchange.finished) return;
    // Input may be read between the deadline and the end of the request.
    if (state.deps.now() >= exchange.deadlineAt) {
      const {outcome} = exchange;
      refuse(state, exchange, combineOutcomes(outcome, 'deadlineBeforeSend'));
      return;
    }
    if (decision.action === 'refuse' || decision.action === 'wait') {
      refuseSuspect(state, exchange, decision);
      return;
    }
    const owner = pickOwner(state, exchange, request, decision);
    if (!owner) {
      refuse(state, exchange, exchange.outcome ?? 'noUpstream');
      return;
    }
    const result = await runAttempt(state, exchange, request, owner, decision);
    if (!handleResult(state, exchange, request, result, decision)) return;
    count(state.deps.board, 'entry_retries');
    exchange.budget--;
  }
}

/** Waits while another copy of a suspect request is running. */
async function awaitSuspectDecision(
  state: EntryState,
  exchange: Exchange,
): Promise<SuspectDecision> {
  const {board, now} = state.deps;
  const classify = () =>
    classifyRequest(board.suspects, exchange.fingerprint, now());
  let decision = classify();
  for (let i = 0; i < MAX_SUSPECT_POLLS && decision.action === 'wait'; i++) {
    await new Promise(resolve => setTimeout(resolve, SUSPECT_POLL_MS));
    if (exchange.finished) break;
    decision = classify();
  }
  return decision;
}

function refuseSuspect(
  state: EntryState,
  exchange: Exchange,
  decision: SuspectDecision,
): void {
  count(state.deps.board, 'entry_suspects_refused');
  const seconds = Math.max(1, Math.ceil(decision.retryAfterMs / 1_000));
  const outcome = combineOutcomes(exchange.outcome, 'suspectHeld');
  const extraHeaders = {'retry-after': String(seconds)};
  refuse(state, exchange, outcome, false, extraHeaders);
}

/** Chooses the owner of the next attempt; undefined when none is left. */
function pickOwner(
  state: EntryState,
  exchange: Exchange,
  request: CustomerRequest,
  decision: SuspectDecision,
): MemberRecord | undefined {
  const {board, now} = state.deps;
  const {service} = request.matched.route;
  const members = listMembers(board, {service, states: MEMBER_STATES});
  if (exchange.boundOwner !== undefined) {
    return members.find(record => record.id === exchange.boundOwner);
  }
  const {document} = request.version;
  const candidates = findCandidates(document, service, members);
  if (decision.action === 'alone') {
    // All entries choose the same upstream, so that copies of the request
    // sent by several entries at once crash one upstream and not several.
    const untried = candidates.filter(record => !exchange.tried.has(record.id));
    const ids = untried.map(record => record.id);
    const [first] = rankByRendezvous(exchange.fingerprint, ids);
    return untried.find(record => record.id === first);
  }
  const {dataCentre, region} = board.self;
  const context = {dataCentre, region, tried: exchange.tried};
  return chooseUpstream(
    board.routing,
    candidates,
    context,
    board.random,
    now(),
  );
}

async function runAttempt(
  state: EntryState,
  exchange: Exchange,
  request: CustomerRequest,
  owner: MemberRecord,
  decision: SuspectDecision,
): Promise<AttemptResult> {
  const {board, now} = state.deps;
  exchange.tried.add(owner.id);
  exchange.upstream = owner.id;
  recordSent(board.routing, owner);
  const alone = decision.action === 'alone';
  if (alone) startIsolatedRun(board.suspects, exchange.fingerprint);
  const sentAt = now();
  const attempt = startAttempt({
    forwarder: state.forwarder,
    to: owner,
    request: buildForwardRequest(state, exchange, request, sentAt),
    requestId: exchange.id,
    res: exchange.res,
    now: sentAt,
    onReply: load => {
      if (!recordReply(board.routing, owner.id, load, now())) return;
      recordEvent(board.timeline, 'readmitted', {upstream: owner.id}, now());
    },
    onAnswer: () => announceClose(state, exchange),
  });
  exchange.attempt = attempt;
  const result = await attempt.result;
  exchange.attempt = undefined;
  if (alone) endIsolatedRun(board.suspects, exchange.fingerprint);
  return result;
}

function buildForwardRequest(
  state: EntryState,
  exchange: Exchange,
  request: CustomerRequest,
  sentAt: number,
): ForwardRequest {
  const {board, peerKey} = state.deps;
  const {id, fingerprint, body} = exchange;
  const {matched, method, target} = request;
  const {organisation} = exchange;
  const {timeline} = board;
  timeline.hlc = tickHlc(timeline.hlc, Date.now());
  const deadlineMs = String(computeOwnerDeadline(exchange.deadlineAt - sentAt));
  // Owners accept only bound keys; an idempotent request needs none.
  const idempotencyKey = exchange.boundOwner ? (request.key ?? '') : '';
  const mac = sign(
    peerKey,
    id,
    matched.name,
    fingerprint,
    idempotencyKey,
    deadlineMs,
    ...(organisation ? [organisation.name] : []),
  );
  const headers = [
    ...request.headers,
    ...[HEADERS.id, id],
    ...[HEADERS.deadlineMs, deadlineMs],
    ...[HEADERS.depth, String(request.depth)],
    ...[HEADERS.budget, String(exchange.budget)],
    ...[HEADERS.route, matched.name],
    ...[HEADERS.priority, selectPriority(organisation, matched.route.priority)],
    ...[HEADERS.version, String(request.version.version)],
    ...[HEADERS.fingerprint, fingerprint],
    ...[HEADERS.hlc, formatHlc(timeline.hlc)],
    ...[HEADERS.auth, mac],
  ];
  if (organisation) headers.push(HEADERS.organisation, organisation.name);
  if (idempotencyKey) headers.push(HEADERS.key, idempotencyKey);
  const path = FORWARD_PREFIX + target;
  return {method, path, headers, body: body.length > 0 ? body : undefined};
}

/** Handles the result of an attempt; returns true to retry. */
function handleResult(
  state: EntryState,
  exchange: Exchange,
  request: CustomerRequest,
  result: AttemptResult,
  decision: SuspectDecision,
): boolean {
  const {board, now} = state.deps;
  if (result.kind === 'cancelled') return false;
  if (result.kind === 'cut') {
    exchange.result = 'cut';
    count(board, 'entry_answers_cut');
    return false;
  }
  if (result.kind === 'answered') {
    exchange.finished = true;
    exchange.result = 'answered';
    count(board, 'entry_answered');
    recordFinished(board.suspects, exchange.fingerprint, now());
    return false;
  }
  const {outcome, fromOwner} = result;
  const {version, matched} = request;
  const {expectedMs} = version.document.services[matched.route.service];
  recordFailedAttempt(state, exchange, request, outcome, decision);
  exchange.outcome = combineOutcomes(exchange.outcome, outcome);
  const retry =
    exchange.boundOwner === undefined &&
    shouldRetry({
      outcome,
      idempotent: request.matched.route.idempotent,
      budget: exchange.budget,
      attempts: exchange.tried.size,
      // A retry that cannot be answered in time would turn a refusal that is
      // known as not run into a request that may have run.
      remainingMs: exchange.deadlineAt - now() - expectedMs,
      crashes: exchange.crashes,
      suspect: decision.crashes > 0,
    });
  if (retry) return true;
  const {retryAfter} = result;
  const extraHeaders: Record<string, string> = {};
  if (retryAfter && /^\d{1,5}$/.test(retryAfter)) {
    extraHeaders['retry-after'] = retryAfter;
  }
  refuse(state, exchange, exchange.outcome, fromOwner, extraHeaders);
  return false;
}

function recordFailedAttempt(
  state: EntryState,
  exchange: Exchange,
  request: CustomerRequest,
  outcome: Outcome,
  decision: SuspectDecision,
): void {
  const {board, now, execute} = state.deps;
  const {upstream, fingerprint} = exchange;
  if (UNAVAILABLE.has(outcome)) markUnavailable(board.routing, upstream, now());
  if (outcome === 'connectFailed' || outcome === 'connectionBroken') {
    const ms = countFailure(board.routing, upstream, now());
    if (ms > 0) recordEvent(board.timeline, 'ejected', {upstream, ms}, now());
  }
  if (outcome !== 'upstreamCrashed') return;
  exchange.crashes++;
  const {service} = request.matched.route;
  const knownCrashes = decision.crashes;
  const crash = {service, upstream, knownCrashes};
  const effects = reportCrashes(board, [fingerprint], crash, now());
  if (effects.length > 0) execute?.(effects);
}
