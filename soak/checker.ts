import type {ProcessEnd} from './daemons.js';

/** A request as the customer sent it. */
export interface SentRequest {
  readonly id: string;
  readonly path: string;
  readonly body: string;
  readonly idempotent: boolean;
  /** Service of the instance that the request entered at. */
  readonly caller: string;
}

/** An answer as the customer received it; `status` 0: connection closed. */
export interface ReceivedAnswer {
  readonly status: number;
  readonly stamp?: string;
  readonly body: string;
  /** Request that the answer states to belong to. */
  readonly requestId?: string;
  /** True when the answer ended before its announced length. */
  readonly cut: boolean;
}

interface TrackedRequest {
  readonly request: SentRequest;
  /** Monotonic time until which the customer waits for its answer, ms. */
  readonly waitsUntil: number;
  /** Service that its instance got while it was in flight. */
  laterCaller?: string;
  runs: number;
  arrivals: number;
  /** True once a status has stated that the request never runs. */
  refused: boolean;
}

/** Bounds that the daemons have in their settings. */
export interface Bounds {
  readonly drainMs: number;
  readonly evacuationMs: number;
  readonly coldRateFactor: number;
  readonly coldSlack: number;
  readonly resendRatio: number;
  readonly resendSlack: number;
  readonly resendWindowMs: number;
}

/** Retries of a request that may reach upstreams after its third crash. */
const MAX_CRASH_RETRIES = 3;

/** Requests that an upstream may get beyond its stated limit, in any window. */
const STATED_LIMIT = {windowMs: 4_000, factor: 1.5, slack: 5};

/** Statuses which state that a request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Checks the guarantees against what customers and upstreams observe. */
export class Checker {
  readonly violations: string[] = [];
  readonly statuses = new Map<number, number>();
  readonly #requests = new Map<string, TrackedRequest>();
  readonly #sendTimes: number[] = [];
  readonly #resendTimes: number[] = [];

  constructor(
    private readonly bounds: Bounds,
    private readonly now: () => number,
    /** True when store and connections have been healthy for a while. */
    private readonly isStable: () => boolean,
    /** True while an upstream, undisturbed on its way, works on a request. */
    private readonly isAtWork: (id: string) => boolean,
  ) {}

  #report(rule: string, detail: string): void {
    const at = (this.now() / 1_000).toFixed(2);
    this.violations.push(`${at} s ${rule}: ${detail}`);
  }

  /** Records a request before it is sent; `waitMs` is the time until the
   * deadline of the customer or the route, whichever ends first. */
  recordSent(request: SentRequest, waitMs: number): void {
    this.#requests.set(request.id, {
      request,
      waitsUntil: this.now() + waitMs,
      runs: 0,
      arrivals: 0,
      refused: false,
    });
    this.#sendTimes.push(this.now());
  }

  /** Records that an instance changes from one service to another now: a request
   * that is in flight may bear either. */
  recordServiceChange(from: string, to: string): void {
    for (const tracked of this.#requests.values()) {
      if (tracked.waitsUntil < this.now()) continue;
      if (tracked.request.caller === from) tracked.laterCaller = to;
    }
  }

  /** Records a request that an upstream accepted, and checks it. */
  recordArrival(upstream: string, seen: Omit<SentRequest, 'idempotent'>): void {
    const tracked = this.#requests.get(seen.id);
    if (!tracked) return this.#report('UNASKED', `${seen.id} at ${upstream}`);
    const {request} = tracked;
    if (seen.path !== request.path || seen.body !== request.body) {
      this.#report('UNASKED', `${seen.id} was changed in transit`);
    }
    if (![request.caller, tracked.laterCaller].includes(seen.caller)) {
      this.#report('UNASKED', `${seen.id} has the caller ${seen.caller}`);
    }
    tracked.arrivals++;
    tracked.runs++;
    if (tracked.arrivals > 1) this.#checkResendBudget();
    if (request.idempotent) return;
    if (tracked.runs > 1) this.#report('TWICE', `${seen.id} at ${upstream}`);
    if (tracked.refused) this.#report('REFUSED', `${seen.id} ran afterwards`);
  }

  #checkResendBudget(): void {
    const now = this.now();
    this.#resendTimes.push(now);
    const {resendWindowMs, resendRatio, resendSlack} = this.bounds;
    const countSince = (times: number[], from: number) =>
      times.filter(at => at >= from).length;
    const resends = countSince(this.#resendTimes, now - resendWindowMs);
    const requests = countSince(this.#sendTimes, now - resendWindowMs);
    if (resends > requests * resendRatio + resendSlack) {
      this.#report('BUDGET', `${resends} resends for ${requests} requests`);
    }
  }

  /** Records the answer that a customer received, and checks it. */
  recordAnswer(
    id: string,
    answer: ReceivedAnswer,
    mayLoseAnswer: boolean,
  ): void {
    const {status, stamp, requestId = id} = answer;
    this.statuses.set(status, (this.statuses.get(status) ?? 0) + 1);
    const tracked = this.#requests.get(id);
    if (!tracked) return;
    if (NOT_RUN_STATUSES.has(status)) {
      tracked.refused = true;
      if (!tracked.request.idempotent && tracked.runs > 0) {
        this.#report('REFUSED', `${id} got ${status} and had run`);
      }
    }
    if (status === 404) this.#report('DENIED', `${id} got 404`);
    // A request sent while its connection is being closed may never arrive.
    if (status === 0 && !mayLoseAnswer && tracked.arrivals > 0) {
      this.#report('LOST', `${id} got no answer from an undisrupted daemon`);
    }
    const isOwn = status !== 0 && stamp === undefined;
    if (isOwn && !NOT_RUN_STATUSES.has(status) && !mayLoseAnswer) {
      this.#checkBreakOff(tracked, status);
    }
    if (requestId !== id) {
      this.#report('MIXED', `${id} got the answer of ${requestId}`);
    }
    if (status !== 200 || answer.cut) return;
    if (stamp !== `signed ${id}` || answer.body !== `body of ${id}`) {
      this.#report('MIXED', `${id} got ${stamp} ${answer.body}`);
    }
  }

  #checkBreakOff({request, waitsUntil}: TrackedRequest, status: number): void {
    const earlyMs = waitsUntil - this.now();
    if (earlyMs <= 0 || !this.isAtWork(request.id)) return;
    const detail = `${status} ${earlyMs.toFixed(1)} ms before its deadline`;
    this.#report('LOST', `${request.id} got ${detail}, upstream at work`);
  }

  /** Reports bytes that are no answer, or one that no request waits for. */
  reportStray(daemon: string, status: number): void {
    this.#report('MIXED', `${daemon} sent a stray answer with ${status}`);
  }

  /** Checks a request that arrived `ms` after the drain or evacuation began. */
  checkLateArrival(rule: 'DRAIN' | 'EVAC', upstream: string, ms: number): void {
    const {drainMs, evacuationMs} = this.bounds;
    if (!this.isStable()) return;
    if (ms <= (rule === 'DRAIN' ? drainMs : evacuationMs)) return;
    this.#report(rule, `${upstream} got a request after ${Math.round(ms)} ms`);
  }

  /** Checks how many requests a cold upstream received in the last second. */
  checkColdRate(upstream: string, count: number, perSecond: number): void {
    const {coldRateFactor, coldSlack} = this.bounds;
    if (count <= perSecond * coldRateFactor + coldSlack) return;
    this.#report('FAILBACK', `${upstream} got ${count} requests in a second`);
  }

  /** Checks how often a request that had crashed three upstreams reached one again,
   * sent by daemons that could hear of the crashes. */
  checkCrashes(path: string, retries: number): void {
    if (retries <= MAX_CRASH_RETRIES) return;
    this.#report('BUDGET', `${path} crashed upstreams in ${retries} retries`);
  }

  /** Checks the requests that an upstream with a stated limit got in the latest
   * window, from daemons that had passed on the limit; times are in order. */
  checkStatedLimit(upstream: string, times: readonly number[], perS: number) {
    const {windowMs, factor, slack} = STATED_LIMIT;
    const count = times.filter(at => at > this.now() - windowMs).length;
    if (count <= (factor * perS * windowMs) / 1_000 + slack) return;
    this.#report(
      'LIMIT',
      `${upstream} got ${count} requests in ${windowMs} ms`,
    );
  }

  /** Reports a daemon whose process ended by itself. */
  reportOwnEnd(daemon: string, {code, signal}: ProcessEnd): void {
    const cause = signal ?? `code ${code}`;
    this.#report('FAULT', `${daemon} ended by itself with ${cause}`);
  }

  /** Reports a daemon that does not start, stop or release memory. */
  reportStuck(
    daemon: string,
    failure: 'did not start' | 'did not stop' | 'held bodies that stop',
  ): void {
    this.#report('FAULT', `${daemon} ${failure}`);
  }

  /** Reports a daemon that the platform would end for its memory, MB. */
  reportMemory(daemon: string, mb: number, limitMb: number): void {
    this.#report('FAULT', `${daemon} took ${Math.round(mb)} of ${limitMb} MB`);
  }

  /** Reports a daemon that served an older version than before. */
  reportRollback(daemon: string, version: number, before: number): void {
    this.#report('CONFIG', `${daemon} went from ${before} to ${version}`);
  }

  /** Reports a copy of the store that is older than stated, or wrong. */
  reportCopy(daemon: string, detail: string): void {
    this.#report('COPY', `${daemon} has ${detail}`);
  }

  /** Reports a daemon whose copy lacks a write that was due `lateMs` ago. */
  reportLateCopy(daemon: string, revision: number, lateMs: number): void {
    const detail = `at revision ${revision}, ${lateMs} ms late`;
    this.#report('CONFIG', `${daemon} has a copy ${detail}`);
  }

  /** Reports a daemon that has not applied a version in time. */
  reportOutdated(daemon: string, version: number, expected: number): void {
    this.#report('CONFIG', `${daemon} is at ${version}, not at ${expected}`);
  }
}
