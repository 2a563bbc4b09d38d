import {
  FORWARD_PREFIX,
  HEADERS,
  MEMBER_STATES,
  startIsolatedRun,
  chooseUpstream,
  combineOutcomes,
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
  sign,
  tickHlc,
  type SuspectDecision,
  type MemberRecord,
  type Outcome,
} from '../internal.js';
import {startAttempt, type AttemptResult} from './attempt.js';
import {refuse, type EntryState, type Exchange} from './exchange.js';
import type {ForwardRequest} from './forward.js';
import type {Intake} from './intake.js';

/** Interval at which a held request checks whether it may be sent, ms. */
const HOLD_POLL_MS = 20;

/** Checks of a held request before it is refused; 1 s in all. */
const HOLD_POLLS = 50;

/** Longest part of the deadline kept back from the owner, ms. */
const OWNER_MARGIN_MS = 50;

/** Share of a short deadline that is kept back from the owner. */
const OWNER_MARGIN_SHARE = 0.1;

/** Outcomes after which an owner counts as full for a while. */
const UNAVAILABLE = new Set<Outcome>([
  'dataCentreOut',
  'deadlineAfterSend',
  'leaving',
  'staleView',
  'upstreamCrashed',
  'upstreamDown',
  'wrongOwner',
]);

/** Sends a checked request to owners until it is answered or refused. */
export async function dispatchRequest(
  state: EntryState,
  exchange: Exchange,
  intake: Intake,
): Promise<void> {
  while (!exchange.over) {
    const judgement = await awaitTurn(state, exchange);
    if (exchange.over) return;
    if (judgement.action === 'refuse' || judgement.action === 'wait') {
      refuseSuspect(state, exchange, judgement);
      return;
    }
    const owner = pickOwner(state, exchange, intake, judgement);
    if (!owner) {
      refuse(state, exchange, exchange.outcome ?? 'noUpstream');
      return;
    }
    const result = await runAttempt(state, exchange, intake, owner, judgement);
    if (!handleResult(state, exchange, intake, result, judgement)) return;
    count(state.deps.board, 'entry_retries');
    exchange.budget--;
  }
}

/** Waits while a copy of a suspect request is running. */
async function awaitTurn(
  state: EntryState,
  exchange: Exchange,
): Promise<SuspectDecision> {
  const {board, now} = state.deps;
  const judge = () =>
    classifyRequest(board.suspects, exchange.fingerprint, now());
  let judgement = judge();
  for (let i = 0; i < HOLD_POLLS && judgement.action === 'wait'; i++) {
    await new Promise(resolve => setTimeout(resolve, HOLD_POLL_MS));
    if (exchange.over) break;
    judgement = judge();
  }
  return judgement;
}

function refuseSuspect(
  state: EntryState,
  exchange: Exchange,
  judgement: SuspectDecision,
): void {
  count(state.deps.board, 'entry_suspects_refused');
  const seconds = Math.max(1, Math.ceil(judgement.retryAfterMs / 1_000));
  const outcome = combineOutcomes(exchange.outcome, 'suspectHeld');
  const extra = {'retry-after': String(seconds)};
  refuse(state, exchange, outcome, false, extra);
}

/** Chooses the owner of the next attempt; undefined when none is left. */
function pickOwner(
  state: EntryState,
  exchange: Exchange,
  intake: Intake,
  judgement: SuspectDecision,
): MemberRecord | undefined {
  const {board, now} = state.deps;
  const {service} = intake.matched.route;
  const members = listMembers(board, {service, states: MEMBER_STATES});
  if (exchange.boundTo !== undefined) {
    return members.find(record => record.id === exchange.boundTo);
  }
  const {document} = intake.version;
  const candidates = findCandidates(document, service, members);
  if (judgement.action === 'alone') {
    // All entries choose the same upstream, so that copies of the request
    // sent by several entries at once crash one upstream and not several.
    const left = candidates.filter(record => !exchange.tried.has(record.id));
    const ids = left.map(record => record.id);
    const [first] = rankByRendezvous(exchange.fingerprint, ids);
    return left.find(record => record.id === first);
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
  intake: Intake,
  owner: MemberRecord,
  judgement: SuspectDecision,
): Promise<AttemptResult> {
  const {board, now} = state.deps;
  exchange.tried.add(owner.id);
  exchange.upstream = owner.id;
  recordSent(board.routing, owner);
  const alone = judgement.action === 'alone';
  if (alone) startIsolatedRun(board.suspects, exchange.fingerprint);
  const at = now();
  const attempt = startAttempt({
    forwarder: state.forwarder,
    to: owner,
    request: buildForwardRequest(state, exchange, intake, at),
    requestId: exchange.id,
    res: exchange.res,
    now: at,
    onReply: load => {
      if (!recordReply(board.routing, owner.id, load, now())) return;
      recordEvent(board.timeline, 'readmitted', {upstream: owner.id}, now());
    },
  });
  exchange.attempt = attempt;
  const result = await attempt.result;
  exchange.attempt = undefined;
  if (alone) endIsolatedRun(board.suspects, exchange.fingerprint);
  return result;
}

/**
 * Time that the owner gets, ms. It ends before the entry's own deadline, so that
 * the owner's word that a waiting request was not run arrives in time. With one
 * deadline for both, most requests that waited in vain were reported as may have
 * run.
 */
function computeOwnerDeadline(remainingMs: number): number {
  const marginMs = Math.min(OWNER_MARGIN_MS, remainingMs * OWNER_MARGIN_SHARE);
  return Math.max(1, Math.floor(remainingMs - marginMs));
}

function buildForwardRequest(
  state: EntryState,
  exchange: Exchange,
  intake: Intake,
  at: number,
): ForwardRequest {
  const {board, peerKey} = state.deps;
  const {id, fingerprint, body} = exchange;
  const {matched, method, target} = intake;
  const {timeline} = board;
  timeline.hlc = tickHlc(timeline.hlc, Date.now());
  const deadlineMs = String(computeOwnerDeadline(exchange.deadlineAt - at));
  // Owners take bound keys only; an idempotent request needs none.
  const idempotencyKey = exchange.boundTo ? (intake.key ?? '') : '';
  const mac = sign(
    peerKey,
    id,
    matched.name,
    fingerprint,
    idempotencyKey,
    deadlineMs,
  );
  const headers = [
    ...intake.headers,
    ...[HEADERS.id, id],
    ...[HEADERS.deadlineMs, deadlineMs],
    ...[HEADERS.depth, String(intake.depth)],
    ...[HEADERS.budget, String(exchange.budget)],
    ...[HEADERS.route, matched.name],
    ...[HEADERS.priority, matched.route.priority],
    ...[HEADERS.version, String(intake.version.version)],
    ...[HEADERS.fingerprint, fingerprint],
    ...[HEADERS.hlc, formatHlc(timeline.hlc)],
    ...[HEADERS.auth, mac],
  ];
  if (idempotencyKey) headers.push(HEADERS.key, idempotencyKey);
  const path = FORWARD_PREFIX + target;
  return {method, path, headers, body: body.length > 0 ? body : undefined};
}

/** Takes in the result of an attempt; returns true to send once more. */
function handleResult(
  state: EntryState,
  exchange: Exchange,
  intake: Intake,
  result: AttemptResult,
  judgement: SuspectDecision,
): boolean {
  const {board, now} = state.deps;
  if (result.kind === 'cancelled') return false;
  if (result.kind === 'cut') {
    exchange.result = 'cut';
    count(board, 'entry_answers_cut');
    return false;
  }
  if (result.kind === 'answered') {
    exchange.over = true;
    exchange.result = 'answered';
    count(board, 'entry_answered');
    recordFinished(board.suspects, exchange.fingerprint, now());
    return false;
  }
  const {outcome, vouched} = result;
  const {version, matched} = intake;
  const {expectedMs} = version.document.services[matched.route.service];
  noteFailedAttempt(state, exchange, intake, outcome, judgement);
  exchange.outcome = combineOutcomes(exchange.outcome, outcome);
  const again =
    exchange.boundTo === undefined &&
    shouldRetry({
      outcome,
      idempotent: intake.matched.route.idempotent,
      budget: exchange.budget,
      attempts: exchange.tried.size,
      // A retry that cannot be answered in time would turn a refusal that was
      // not run into a request that may have run.
      remainingMs: exchange.deadlineAt - now() - expectedMs,
      crashes: exchange.crashes,
      suspect: judgement.crashes > 0,
    });
  if (again) return true;
  const {retryAfter} = result;
  const extra: Record<string, string> = {};
  if (retryAfter && /^\d{1,5}$/.test(retryAfter)) {
    extra['retry-after'] = retryAfter;
  }
  refuse(state, exchange, exchange.outcome, vouched, extra);
  return false;
}

function noteFailedAttempt(
  state: EntryState,
  exchange: Exchange,
  intake: Intake,
  outcome: Outcome,
  judgement: SuspectDecision,
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
  const {service} = intake.matched.route;
  const knownCrashes = judgement.crashes;
  const crash = {service, upstream, knownCrashes};
  const effects = reportCrashes(board, [fingerprint], crash, now());
  if (effects.length > 0) execute?.(effects);
}
