/** Requests per second that a cold upstream of unknown rate gets. */
const DEFAULT_COLD_PER_S = 5;

/** Requests that a cold upstream may get at once, beyond its rate. */
const COLD_BURST = 3;

/** Weight of the newest time in the mean. */
const MEAN_GAIN = 0.1;

/** Time of a request before any has been measured, ms. */
const FIRST_MEAN_MS = 50;

/** Kinds of requests whose times are kept; the map starts anew beyond it. */
const MAX_KINDS = 512;

/** Part of its own running time that a late request may wait. */
const LATE_WAIT_SHARE = 0.5;

/** Why a request was not started. */
export type GateRefusal = 'full' | 'cold' | 'deadlineTooShort' | 'upstreamDown';

/** A request that asks for a slot of the upstream. */
export interface GateWork {
  /** Requests of one kind take similar times; the route name. */
  readonly kind: string;
  /** 0 goes first. */
  readonly rank: number;
  /** Monotonic time up to which an answer has its full value, ms. */
  readonly goalAt: number;
  /** Monotonic time up to which an answer is of use, ms. */
  readonly limitAt: number;
  start(): void;
  refuse(reason: GateRefusal, retryAfterMs: number): void;
}

interface Waiting {
  readonly work: GateWork;
  readonly since: number;
}

/**
 * Admission to the upstream beside the daemon. All requests for the upstream
 * pass here, so its slots and its cold rate hold without any agreement.
 */
export interface Gate {
  slots: number;
  inFlight: number;
  waiting: Waiting[];
  /** Monotonic time up to which the upstream counts as cold, ms. */
  coldUntil: number;
  coldPerS: number;
  coldTokens: number;
  refilledAt: number;
  down: boolean;
  /** Mean time that a request holds its slot, ms. */
  meanMs: number;
  readonly meanByKind: Map<string, number>;
  /** Share of failed requests, recent ones weighing most. */
  failShare: number;
}

/** Creates the gate of an upstream that is taken to be cold until it is known. */
export function createGate(now: number): Gate {
  return {
    slots: 1,
    inFlight: 0,
    waiting: [],
    coldUntil: Infinity,
    coldPerS: DEFAULT_COLD_PER_S,
    coldTokens: 1,
    refilledAt: now,
    down: false,
    meanMs: FIRST_MEAN_MS,
    meanByKind: new Map(),
    failShare: 0,
  };
}

/** True while the cold rate limits the starts. */
export function isGateCold(gate: Gate, now: number): boolean {
  return now < gate.coldUntil;
}

/** Sets how long the upstream counts as cold from now. */
export function setCold(gate: Gate, forMs: number, now: number): void {
  if (!isGateCold(gate, now) && forMs > 0) {
    // What has been started just now counts against the cold rate as well.
    gate.coldTokens = 0;
    gate.refilledAt = now;
  }
  gate.coldUntil = now + forMs;
}

/** Sets the rate that the upstream bears while cold; 0 for unknown. */
export function setColdRate(gate: Gate, perS: number): void {
  gate.coldPerS = perS > 0 ? perS : DEFAULT_COLD_PER_S;
}

function refillCold(gate: Gate, now: number): void {
  const gained = ((now - gate.refilledAt) / 1_000) * gate.coldPerS;
  gate.coldTokens = Math.min(COLD_BURST, gate.coldTokens + gained);
  gate.refilledAt = now;
}

/** Expected time from the start of a request to its answer, ms. */
export function expectMs(gate: Gate, kind: string): number {
  return gate.meanByKind.get(kind) ?? gate.meanMs;
}

/** Time that the entry needs to pass on a refusal before its deadline, ms. */
const REFUSAL_MARGIN_MS = 15;

/**
 * Longest time that a request may wait for its start, ms. What cannot end
 * within its limit any more is refused while its customer can still come back.
 */
export function computeMaxWaitMs(
  gate: Gate,
  kind: string,
  limitMs: number,
): number {
  const neededMs = Math.max(REFUSAL_MARGIN_MS, expectMs(gate, kind));
  return Math.max(1, limitMs - neededMs);
}

/** Expected wait of a request that arrives now, ms. */
export function expectWaitMs(gate: Gate, rank: number, now: number): number {
  const ahead = gate.waiting.filter(item => item.work.rank <= rank).length;
  const cold = isGateCold(gate, now);
  if (cold) refillCold(gate, now);
  const free = gate.inFlight < gate.slots && (!cold || gate.coldTokens >= 1);
  if (free && ahead === 0) return 0;
  const missing = Math.max(0, ahead + 1 - (gate.slots - gate.inFlight));
  const slotMs = (missing * gate.meanMs) / gate.slots;
  if (!cold) return slotMs;
  const tokens = Math.max(0, ahead + 1 - gate.coldTokens);
  return Math.max(slotMs, (tokens * 1_000) / gate.coldPerS);
}

/**
 * Starts a request, lets it wait, or refuses it at once. It waits only while
 * its answer can be expected in time: work that ends late takes the slot from
 * work that does not.
 */
export function admit(gate: Gate, work: GateWork, now: number): void {
  if (gate.down) return work.refuse('upstreamDown', 0);
  const waitMs = expectWaitMs(gate, work.rank, now);
  if (waitMs > 0 && !isWorthWaiting(gate, work, waitMs, now)) {
    const reason = isGateCold(gate, now) ? 'cold' : 'full';
    return work.refuse(reason, waitMs);
  }
  insertWaiting(gate, {work, since: now});
  pump(gate, now);
}

function isWorthWaiting(
  gate: Gate,
  work: GateWork,
  waitMs: number,
  now: number,
): boolean {
  const runMs = expectMs(gate, work.kind);
  const endAt = now + waitMs + runMs;
  if (endAt <= work.goalAt) return true;
  return endAt <= work.limitAt && waitMs <= runMs * LATE_WAIT_SHARE;
}

function insertWaiting(gate: Gate, item: Waiting): void {
  const {waiting} = gate;
  let at = waiting.length;
  while (at > 0 && waiting[at - 1].work.rank > item.work.rank) at--;
  waiting.splice(at, 0, item);
}

/** Removes a request that waits; false when it does not. */
export function withdraw(gate: Gate, work: GateWork): boolean {
  const at = gate.waiting.findIndex(item => item.work === work);
  if (at < 0) return false;
  gate.waiting.splice(at, 1);
  return true;
}

/**
 * Starts what may start. Returns the time until the cold rate allows the next
 * start, ms; undefined when nothing waits for it.
 */
export function pump(gate: Gate, now: number): number | undefined {
  while (gate.waiting.length > 0 && gate.inFlight < gate.slots) {
    if (isGateCold(gate, now)) {
      refillCold(gate, now);
      if (gate.coldTokens < 1) {
        return ((1 - gate.coldTokens) * 1_000) / gate.coldPerS;
      }
    }
    const {work, since} = gate.waiting.shift() as Waiting;
    const late = now + expectMs(gate, work.kind) > work.limitAt;
    if (now >= work.limitAt || (late && now > since)) {
      work.refuse('deadlineTooShort', 0);
      continue;
    }
    if (isGateCold(gate, now)) gate.coldTokens--;
    gate.inFlight++;
    work.start();
  }
  return undefined;
}

/** Weight of one result in the share of failures. */
const FAIL_GAIN = 0.08;

/** Result of a request at the upstream. */
export type GateResult = 'answered' | 'failed' | 'cancelled';

/** Ends a request that was started. */
export function release(
  gate: Gate,
  kind: string,
  heldMs: number,
  result: GateResult,
  now: number,
): void {
  gate.inFlight--;
  if (result !== 'cancelled') {
    const failed = result === 'failed' ? 1 : 0;
    gate.failShare += FAIL_GAIN * (failed - gate.failShare);
  }
  if (result === 'answered') noteTime(gate, kind, heldMs);
  pump(gate, now);
}

function noteTime(gate: Gate, kind: string, heldMs: number): void {
  const {meanByKind} = gate;
  if (meanByKind.size >= MAX_KINDS) meanByKind.clear();
  const known = meanByKind.get(kind) ?? heldMs;
  meanByKind.set(kind, known + MEAN_GAIN * (heldMs - known));
  gate.meanMs += MEAN_GAIN * (heldMs - gate.meanMs);
}

/** Refuses all waiting requests. */
export function flushWaiting(gate: Gate, reason: GateRefusal): void {
  const {waiting} = gate;
  gate.waiting = [];
  for (const {work} of waiting) work.refuse(reason, 0);
}
