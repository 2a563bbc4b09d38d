import {recordLatency} from '../daemon/metrics.js';
import {
  type LimiterResult,
  type LimiterRequest,
  type LoadReport,
  type Outcome,
  admit,
  computeMaxWaitMs,
  count,
  countUsableSlots,
  countWaiting,
  isCold,
  predictFreeSlotMs,
  recordFinished,
  recordRunEnd,
  releaseRequest,
  resetSpeed,
  setCold,
  setColdRate,
  setStatedRate,
  removeQueued,
} from '../internal.js';
import {recordAnswerBytes} from './answer_budget.js';
import {type SidecarBoard, findOwnUpstream} from './board.js';
import type {ForwardCall, ForwardReply, ForwardRequest} from './forward.js';
import {
  type AnswerHead,
  type HttpCall,
  type HttpResult,
  CROSSED_ANSWER,
  WITHDRAWN,
  createHttpClient,
} from './http_client.js';
import {adoptLimit, applyAnnouncements, isLeaving} from './announcements.js';
import {
  MEMORY_RETRY_MS,
  SHED_RETRY_MS,
  classifyAnswer,
  checkArrival,
  checkListing,
  checkStart,
  logRefusal,
} from './owner_checks.js';
import {
  type OwnerState,
  askColdAgain,
  handleBrokenCall,
  handleRestart,
  processQueue,
  startHealthCheck,
} from './upstream_health.js';
import {followRun, readWork} from './placement.js';
import {checkWarm} from './warm_check.js';

/** Timeout for connecting to the local upstream, ms. */
const CONNECT_TIMEOUT_MS = 500;

/**
 * Time after which an idle connection to the upstream is closed, ms. Upstreams
 * close idle ones after some seconds; a request sent at that moment is lost.
 */
const KEEP_ALIVE_MS = 3_000;

/** The owner of the local upstream; all its requests pass through here. */
export interface Owner {
  /** Admits a request and sends it to the upstream at most once. */
  submit(request: ForwardRequest): ForwardCall;
  readReport(): LoadReport;
  /** Applies changes of the configuration and of the upstream list. */
  sync(): void;
  /** Number of queued and running requests. */
  countActive(): number;
  stop(): Promise<void>;
}

/** Creates the owner of the local upstream. */
export function createSidecarOwner(
  board: SidecarBoard,
  reportCrash: (fingerprints: string[]) => void,
): Owner {
  const state: OwnerState = {
    board,
    client: createHttpClient({
      connections: 100,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      keepAliveMs: KEEP_ALIVE_MS,
      budget: board.answers,
    }),
    reportCrash,
    running: new Set(),
    active: 0,
    checking: false,
    stopped: false,
    answeredAt: -Infinity,
    startedAt: 0,
    takenOut: false,
    initialCheckStarted: false,
    isAskingWarm: false,
    mustAskCold: false,
    warmAskedAt: -Infinity,
  };
  return {
    submit: request => submitForward(state, request),
    readReport: () => readReport(board),
    sync: () => syncOwner(state),
    countActive: () => state.active,
    async stop() {
      state.stopped = true;
      clearTimeout(state.queueTimer);
      await state.client.close();
    },
  };
}

function readReport(board: SidecarBoard, runMs?: number): LoadReport {
  const {limiter} = board;
  const own = findOwnUpstream(board);
  return {
    inFlight: limiter.inFlight,
    queued: countWaiting(limiter, board.lag.read()),
    slots: countUsableSlots(limiter),
    meanMs: limiter.meanMs,
    failShare: limiter.failShare,
    cold: isCold(limiter, board.now()) || limiter.down,
    leaving: board.stopping || (own !== undefined && isLeaving(board, own)),
    storeLost: board.isStoreLost(),
    work: readWork(board, runMs),
  };
}

function syncOwner(state: OwnerState): void {
  const {board} = state;
  const {limiter, settings, table, list} = board;
  const own = findOwnUpstream(board);
  const service = table?.services.get(own?.service ?? settings.service);
  if (service) setColdRate(limiter, service.coldPerS, board.now());
  if (own) limiter.slots = own.slots;
  if (service && !state.initialCheckStarted) {
    // What the upstream received before this process started is unknown.
    state.initialCheckStarted = true;
    startHealthCheck(state, 'start');
  }
  const now = board.now();
  if (own && own.startedAt !== state.startedAt) {
    const initial = state.startedAt === 0;
    state.startedAt = own.startedAt;
    // At the start a limit may come from a health check of this incarnation.
    if (!initial || state.checkedId !== own.id) {
      setStatedRate(limiter, undefined, now);
    }
    if (!initial) {
      resetSpeed(board.placement.ledger.speed);
      handleRestart(state);
    }
  }
  if (own && own.coldUntil > now && !isCold(limiter, now)) {
    setCold(limiter, own.coldUntil - now, now);
  }
  const takenOut = list.takenOut.has(settings.dataCentre);
  if (state.takenOut && !takenOut) {
    // The upstream may have become cold while its data centre was taken out.
    handleRestart(state);
  }
  state.takenOut = takenOut;
  processQueue(state);
}

function submitForward(
  state: OwnerState,
  request: ForwardRequest,
): ForwardCall {
  const {board} = state;
  const arrivedAt = board.now();
  const deadlineAt = arrivedAt + request.remainingMs;
  let settle!: (reply: ForwardReply) => void;
  const result = new Promise<ForwardReply>(resolve => (settle = resolve));
  let timer: NodeJS.Timeout | undefined;
  let call: HttpCall | undefined;
  let settled = false;
  let runMs: number | undefined;
  const end = (reply: ForwardReply): void => {
    if (settled) return;
    settled = true;
    clearTimeout(timer);
    state.active--;
    const heldMs = board.now() - arrivedAt;
    settle({...reply, report: readReport(board, runMs), heldMs});
  };
  const refuse = (
    outcome: Outcome,
    retryAfterMs: number,
    reachedUpstream = false,
  ) => {
    count(board, `owner_refused_${outcome}`);
    logRefusal(board, request, outcome, reachedUpstream);
    end({
      kind: 'refused',
      outcome,
      reachedUpstream,
      retryAfterMs,
    });
  };
  const job: LimiterRequest = {
    kind: request.route,
    rank: request.rank,
    organisation: request.organisation,
    goalAt: arrivedAt + request.goalMs,
    deadlineAt,
    start: () => {
      clearTimeout(timer);
      // The list may have changed while the request was queued.
      const outcome = checkStart(board, request);
      if (outcome) {
        releaseRequest(board.limiter, job, 0, 'cancelled', board.now());
        refuse(outcome, getRetryMs(outcome));
        return;
      }
      const startedAt = board.now();
      recordLatency(board.metrics, 'owner_queue', startedAt - arrivedAt);
      call = startCall(state, request, deadlineAt);
      state.running.add(request);
      const endRun = followRun(board, request);
      checkWarm(state);
      void call.result.then(httpResult => {
        state.running.delete(request);
        let isReleased = false;
        const finish = (limiterResult: LimiterResult): void => {
          if (isReleased) return;
          isReleased = true;
          const at = board.now();
          const heldMs = at - startedAt;
          if (limiterResult === 'answered') runMs = heldMs;
          endRun(runMs);
          releaseRequest(board.limiter, job, heldMs, limiterResult, at);
        };
        try {
          concludeCall(state, request, httpResult, {
            startedAt,
            finish,
            refuse,
            end,
          });
        } catch (err) {
          count(board, 'owner_errors');
          board.log.write('notable', 'ownerError', {
            request: request.requestId,
            error: (err as Error).message,
          });
          finish('failed');
          if (httpResult.kind === 'answer') httpResult.answer.release();
          // The request may have run.
          const outcome = 'connectionBroken';
          end({kind: 'broken', outcome, code: 'OWNER_ERROR'});
        }
        processQueue(state);
      });
    },
    refuse,
  };
  state.active++;
  askColdAgain(state);
  checkWarm(state);
  const outcome = checkArrival(board, request);
  if (outcome) refuse(outcome, getRetryMs(outcome));
  else {
    // Since its start this process has heard of no limit, but entries have.
    if (state.answeredAt === -Infinity) adoptLimit(board, request);
    admit(board.limiter, job, arrivedAt);
  }
  if (!settled && !call) {
    const waitMs = computeMaxWaitMs(
      board.limiter,
      request.route,
      request.remainingMs,
    );
    timer = setTimeout(() => {
      if (removeQueued(board.limiter, job)) refuse('deadlineTooShort', 0);
    }, waitMs);
    processQueue(state);
  }
  return {
    result,
    abort: () => {
      if (settled) return;
      if (call) call.abort();
      else {
        removeQueued(board.limiter, job);
        end({kind: 'aborted', written: false});
      }
    },
  };
}

/** Time after which a refused request may be sent again, ms; 0 if unknown. */
function getRetryMs(outcome: Outcome): number {
  if (outcome === 'shed') return SHED_RETRY_MS;
  return outcome === 'full' ? MEMORY_RETRY_MS : 0;
}

function startCall(
  state: OwnerState,
  request: ForwardRequest,
  deadlineAt: number,
): HttpCall {
  const {board, client} = state;
  const {names, settings} = board;
  const now = board.now();
  const remainingMs = Math.max(1, Math.floor(deadlineAt - now));
  const headers = [
    ...request.headers,
    ...[names.deadlineMs, String(remainingMs)],
    ...[names.expectedUpstream, request.upstreamId],
  ];
  const {method, target, body, route} = request;
  const {host, port} = settings.upstream;
  const origin = `http://${host}:${port}`;
  const isOwnAnswer = (head: AnswerHead) =>
    classifyAnswer(names, request.requestId, head) !== 'crossed';
  // The list may have changed while the connection was being opened.
  const beforeWrite = () => {
    recordLatency(board.metrics, 'upstream_connect', board.now() - now);
    return checkListing(board, request) === undefined;
  };
  return client.send(
    origin,
    {method, path: target, headers, body, route, isOwnAnswer, beforeWrite},
    now,
  );
}

type Refuse = (
  outcome: Outcome,
  retryAfterMs: number,
  reachedUpstream?: boolean,
) => void;

/** What ends a call at the upstream. */
interface CallEnd {
  /** Monotonic time at which the call began, ms. */
  readonly startedAt: number;
  /** Gives the slot of the upstream back, once. */
  readonly finish: (result: LimiterResult) => void;
  readonly refuse: Refuse;
  readonly end: (reply: ForwardReply) => void;
}

function concludeCall(
  state: OwnerState,
  request: ForwardRequest,
  result: HttpResult,
  {startedAt, finish, refuse, end}: CallEnd,
): void {
  const {board} = state;
  const now = board.now();
  if (result.kind === 'aborted') {
    finish('cancelled');
    end({kind: 'aborted', written: result.written});
    return;
  }
  if (result.kind === 'unsent' && result.code === WITHDRAWN) {
    finish('cancelled');
    refuse(checkListing(board, request) ?? 'leaving', 0);
    return;
  }
  if (result.kind === 'unsent') {
    finish('failed');
    handleBrokenCall(state, request, result.code, false);
    refuse('upstreamDown', 0);
    return;
  }
  if (result.kind === 'broken' && result.code === CROSSED_ANSWER) {
    finish('failed');
    count(board, 'owner_bad_answers');
    end({kind: 'broken', outcome: 'crossedAnswer', code: result.code});
    return;
  }
  if (result.kind === 'broken') {
    finish('failed');
    handleBrokenCall(state, request, result.code, true);
    end({kind: 'broken', outcome: 'connectionBroken', code: result.code});
    return;
  }
  const {answer} = result;
  state.answeredAt = now;
  // A 421 comes from another upstream at the same address.
  if (answer.status !== 421) applyAnnouncements(board, request, answer);
  if (classifyAnswer(board.names, request.requestId, answer) === 'notRun') {
    answer.release();
    finish('failed');
    if (answer.status === 421) refuse('wrongOwner', 0, true);
    else refuse('shed', predictFreeSlotMs(board.limiter), true);
    return;
  }
  const hasFailed = answer.status >= 500;
  if (board.callFailures) {
    recordRunEnd(board.callFailures, request.route, hasFailed, now);
  }
  finish(hasFailed ? 'failed' : 'answered');
  if (answer.status < 300) {
    recordAnswerBytes(board.answers, request.route, answer.body.length);
  }
  recordLatency(board.metrics, 'upstream', now - startedAt);
  recordFinished(board.suspects, request.fingerprint, now);
  end({kind: 'answer', answer});
}
