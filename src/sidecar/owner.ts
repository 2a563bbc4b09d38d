import {recordLatency} from '../daemon/metrics.js';
import {
  type LimiterResult,
  type LimiterRequest,
  type LoadReport,
  type Outcome,
  admit,
  computeMaxWaitMs,
  count,
  isLimiterCold,
  recordFinished,
  release,
  setCold,
  setColdRate,
  removeQueued,
} from '../internal.js';
import {type SidecarBoard, findOwnUpstream} from './board.js';
import type {ForwardCall, ForwardReply, ForwardRequest} from './forward.js';
import {
  type HttpCall,
  type HttpResult,
  createHttpClient,
} from './http_client.js';
import {
  judgeAnswer,
  judgeArrival,
  judgeList,
  logRefusal,
} from './owner_judge.js';
import {
  type OwnerState,
  noteBreak,
  noteRestart,
  schedulePump,
  startHealthCheck,
} from './upstream_health.js';

/** Longest wait for a connection to the upstream on the same instance, ms. */
const CONNECT_MS = 500;

/**
 * Time after which an idle connection to the upstream is closed, ms. Upstreams
 * close theirs after some seconds, and what is sent at that moment is lost.
 */
const KEEP_ALIVE_MS = 3_000;

/** Access to the upstream beside the daemon. */
export interface Owner {
  /** Admits a request and sends it to the upstream at most once. */
  submit(request: ForwardRequest): ForwardCall;
  readReport(): LoadReport;
  /** Takes in changes of the configuration and of the list. */
  sync(): void;
  /** Requests that wait or run. */
  countActive(): number;
  stop(): Promise<void>;
}

/** Creates the owner of the upstream beside the daemon. */
export function createSidecarOwner(
  board: SidecarBoard,
  reportCrash: (fingerprints: string[]) => void,
): Owner {
  const state: OwnerState = {
    board,
    client: createHttpClient({
      connections: 100,
      connectTimeoutMs: CONNECT_MS,
      keepAliveMs: KEEP_ALIVE_MS,
    }),
    reportCrash,
    running: new Set(),
    active: 0,
    checking: false,
    stopped: false,
    answeredAt: -Infinity,
    bornAt: 0,
    out: false,
    asked: false,
  };
  return {
    submit: request => submitForward(state, request),
    readReport: () => readReport(board),
    sync: () => syncOwner(state),
    countActive: () => state.active,
    async stop() {
      state.stopped = true;
      clearTimeout(state.pumpTimer);
      await state.client.close();
    },
  };
}

function readReport(board: SidecarBoard): LoadReport {
  const {gate} = board;
  const own = findOwnUpstream(board);
  return {
    inFlight: gate.inFlight,
    queued: gate.queue.length,
    slots: gate.slots,
    meanMs: gate.meanMs,
    failShare: gate.failShare,
    cold: isLimiterCold(gate, board.now()) || gate.down,
    leaving: board.stopping || own?.state === 'leaving',
  };
}

function syncOwner(state: OwnerState): void {
  const {board} = state;
  const {gate, settings, table, list} = board;
  const own = findOwnUpstream(board);
  const service = table?.services.get(own?.service ?? settings.service);
  if (service) setColdRate(gate, service.coldPerS);
  if (own) gate.slots = own.slots;
  if (service && !state.asked) {
    // Nobody else knows what the upstream got before this process started.
    state.asked = true;
    startHealthCheck(state, 'start');
  }
  const now = board.now();
  if (own && own.startedAt !== state.bornAt) {
    const first = state.bornAt === 0;
    state.bornAt = own.startedAt;
    if (!first) noteRestart(state);
  }
  if (own && own.coldUntil > now && !isLimiterCold(gate, now)) {
    setCold(gate, own.coldUntil - now, now);
  }
  const out = list.takenOut.has(settings.dataCentre);
  if (state.out && !out) {
    // Upstreams of a data centre that comes back may have turned cold.
    noteRestart(state);
  }
  state.out = out;
  schedulePump(state);
}

function submitForward(
  state: OwnerState,
  request: ForwardRequest,
): ForwardCall {
  const {board} = state;
  const arrivedAt = board.now();
  const limitAt = arrivedAt + request.remainingMs;
  let settle!: (reply: ForwardReply) => void;
  const result = new Promise<ForwardReply>(resolve => (settle = resolve));
  let timer: NodeJS.Timeout | undefined;
  let call: HttpCall | undefined;
  let over = false;
  const end = (reply: ForwardReply): void => {
    if (over) return;
    over = true;
    clearTimeout(timer);
    state.active--;
    settle({...reply, report: readReport(board)});
  };
  const refuse = (outcome: Outcome, retryAfterMs: number, arrived = false) => {
    count(board, `owner_refused_${outcome}`);
    logRefusal(board, request, outcome, arrived);
    end({kind: 'refused', outcome, reachedUpstream: arrived, retryAfterMs});
  };
  const work: LimiterRequest = {
    kind: request.route,
    rank: request.rank,
    goalAt: arrivedAt + request.goalMs,
    deadlineAt: limitAt,
    start: () => {
      clearTimeout(timer);
      // What the list says may have changed while the request waited.
      const outcome = judgeList(board, request);
      if (outcome) {
        release(board.gate, request.route, 0, 'cancelled', board.now());
        refuse(outcome, 0);
        return;
      }
      const startedAt = board.now();
      call = startCall(state, request, limitAt);
      state.running.add(request);
      void call.result.then(outcome => {
        state.running.delete(request);
        concludeCall(state, request, outcome, startedAt, refuse, end);
        schedulePump(state);
      });
    },
    refuse,
  };
  state.active++;
  const outcome = judgeArrival(board, request);
  if (outcome) refuse(outcome, 0);
  else admit(board.gate, work, arrivedAt);
  if (!over && !call) {
    const waitMs = computeMaxWaitMs(
      board.gate,
      request.route,
      request.remainingMs,
    );
    timer = setTimeout(() => {
      if (removeQueued(board.gate, work)) refuse('deadlineTooShort', 0);
    }, waitMs);
    schedulePump(state);
  }
  return {
    result,
    abort: () => {
      if (over) return;
      if (call) call.abort();
      else {
        removeQueued(board.gate, work);
        end({kind: 'aborted', written: false});
      }
    },
  };
}

function startCall(
  state: OwnerState,
  request: ForwardRequest,
  limitAt: number,
): HttpCall {
  const {board, client} = state;
  const {names, settings} = board;
  const now = board.now();
  const leftMs = Math.max(1, Math.floor(limitAt - now));
  const headers = [
    ...request.headers,
    ...[names.deadlineMs, String(leftMs)],
    ...[names.expectedUpstream, request.upstreamId],
  ];
  const {method, target, body} = request;
  const {host, port} = settings.upstream;
  const origin = `http://${host}:${port}`;
  return client.send(origin, {method, path: target, headers, body}, now);
}

type Refuse = (
  outcome: Outcome,
  retryAfterMs: number,
  arrived?: boolean,
) => void;

function concludeCall(
  state: OwnerState,
  request: ForwardRequest,
  result: HttpResult,
  startedAt: number,
  refuse: Refuse,
  end: (reply: ForwardReply) => void,
): void {
  const {board} = state;
  const now = board.now();
  const heldMs = now - startedAt;
  const finish = (outcome: LimiterResult) =>
    release(board.gate, request.route, heldMs, outcome, now);
  if (result.kind === 'aborted') {
    finish('cancelled');
    end({kind: 'aborted', written: result.written});
    return;
  }
  if (result.kind === 'unsent') {
    finish('failed');
    noteBreak(state, request, result.code, false);
    refuse('upstreamDown', 0);
    return;
  }
  if (result.kind === 'broken') {
    finish('failed');
    noteBreak(state, request, result.code, true);
    end({kind: 'broken', outcome: 'connectionBroken', code: result.code});
    return;
  }
  const {answer} = result;
  state.answeredAt = now;
  const judged = judgeAnswer(board, request, answer);
  if (judged === 'notRun') {
    finish('failed');
    refuse(answer.status === 421 ? 'wrongOwner' : 'shed', 0, true);
    return;
  }
  if (judged === 'crossed') {
    finish('failed');
    count(board, 'owner_bad_answers');
    end({kind: 'broken', outcome: 'crossedAnswer', code: 'BAD_ANSWER'});
    return;
  }
  finish(answer.status >= 500 ? 'failed' : 'answered');
  recordLatency(board.metrics, 'upstream', heldMs);
  recordFinished(board.suspects, request.fingerprint, now);
  end({kind: 'answer', answer});
}
