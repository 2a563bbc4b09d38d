import {isHostSilent} from './quota_contacts.js';
import {
  type EntryState,
  MAX_QUOTA_ITEMS,
  type QuotaDaemon,
  type QuotaDecision,
  type Waiter,
  findGranters,
  probeHost,
  sendMessage,
} from './quota_daemon.js';
import {
  applyQuotaGrant,
  createQuotaAsk,
  createQuotaEntry,
  dropQuota,
  needsQuotaSoon,
  readQuotaWaitMs,
  recordDemand,
  restoreQuota,
  spendQuota,
} from './quota_entry.js';
import {grantTokens} from './quota_grants.js';
import type {QuotaGrant, QuotaTerms} from './quota_home.js';

/** Requests of one organisation that may wait for a token that is not due yet. */
const MAX_LATE_WAITERS = 2;

/** Time until an entry asks again when its ask could not be answered, ms. */
const RETRY_MS = 200;

/** Grant for an organisation that the configuration in force does not hold. */
const NO_GRANT: QuotaGrant = {granted: 0, waitMs: RETRY_MS, lifeMs: 0};

/** Takes a token for a request, or waits for one for up to `maxWaitMs`. Returns
 * the decision, or undefined when `done` gets it later. */
export function takeQuota(
  daemon: QuotaDaemon,
  terms: QuotaTerms,
  maxWaitMs: number,
  done: (decision: QuotaDecision) => void,
): QuotaDecision | undefined {
  const now = daemon.deps.now();
  const state = getEntry(daemon, terms);
  const {entry} = state;
  recordDemand(entry, now);
  if (state.waiters.length === 0 && spendQuota(entry, now)) {
    if (needsQuotaSoon(entry, now)) scheduleAsk(daemon, state);
    return decide(state, true, 0, now);
  }
  const waitMs = readQuotaWaitMs(entry, now);
  const isLate = state.waiters.length >= MAX_LATE_WAITERS;
  if (waitMs > 0 && (waitMs > maxWaitMs || isLate)) {
    return decide(state, false, waitMs, now);
  }
  const waiter: Waiter = {expiresAt: now + maxWaitMs, done};
  state.waiters.push(waiter);
  daemon.deps.later(maxWaitMs, () => expireWaiter(daemon, state, waiter));
  askAfter(daemon, state, waitMs);
  return undefined;
}

/** Puts back the token of a request that no upstream has got. */
export function giveBackQuota(daemon: QuotaDaemon, name: string): void {
  const state = daemon.entries.get(name);
  if (state) restoreQuota(state.entry, daemon.deps.now());
}

function getEntry(daemon: QuotaDaemon, terms: QuotaTerms): EntryState {
  let state = daemon.entries.get(terms.name);
  if (!state) {
    const entry = createQuotaEntry();
    state = {entry, terms, waiters: [], asking: false, granter: ''};
    daemon.entries.set(terms.name, state);
  }
  if (terms.ratePerS < state.terms.ratePerS) dropQuota(state.entry);
  state.terms = terms;
  return state;
}

function decide(
  {entry, granter}: EntryState,
  granted: boolean,
  waitMs: number,
  now: number,
): QuotaDecision {
  const {tokens, answeredAt} = entry;
  return {granted, waitMs, ageMs: now - answeredAt, tokens, granter};
}

function expireWaiter(
  daemon: QuotaDaemon,
  state: EntryState,
  waiter: Waiter,
): void {
  const index = state.waiters.indexOf(waiter);
  if (index < 0) return;
  state.waiters.splice(index, 1);
  const now = daemon.deps.now();
  const waitMs = Math.max(RETRY_MS, readQuotaWaitMs(state.entry, now));
  waiter.done(decide(state, false, waitMs, now));
}

/** Chooses the daemon to ask: the first one that is not silent, else this one. */
function chooseGranter(daemon: QuotaDaemon, name: string): string {
  const {contacts, deps} = daemon;
  for (const host of findGranters(daemon, name)) {
    if (host === deps.host || !isHostSilent(contacts, host)) return host;
    probeHost(daemon, host);
  }
  return deps.host;
}

function askAfter(
  daemon: QuotaDaemon,
  state: EntryState,
  waitMs: number,
): void {
  if (waitMs <= 0) return scheduleAsk(daemon, state);
  daemon.deps.later(waitMs, () => {
    if (state.waiters.length > 0) scheduleAsk(daemon, state);
  });
}

/** Asks for tokens together with the other organisations of the same home. */
function scheduleAsk(daemon: QuotaDaemon, state: EntryState): void {
  if (state.asking) return;
  state.asking = true;
  const {name} = state.terms;
  const host = chooseGranter(daemon, name);
  state.granter = host;
  if (host === daemon.deps.host) return askOwn(daemon, state);
  const names = daemon.outgoing.get(host);
  if (names) {
    names.add(name);
    return;
  }
  daemon.outgoing.set(host, new Set([name]));
  daemon.deps.later(0, () => sendAsks(daemon, host));
}

function askOwn(daemon: QuotaDaemon, state: EntryState): void {
  const {deps} = daemon;
  const now = deps.now();
  const {name} = state.terms;
  const ask = createQuotaAsk(state.entry, state.waiters.length, now);
  const asker = {host: deps.host, boot: deps.boot, seq: ++daemon.seq};
  const grant = grantTokens(daemon, name, asker, ask) ?? NO_GRANT;
  receiveGrant(daemon, state, grant, now);
}

function sendAsks(daemon: QuotaDaemon, host: string): void {
  const {deps, outgoing} = daemon;
  const sentAt = deps.now();
  const states: EntryState[] = [];
  for (const name of outgoing.get(host) ?? []) {
    const state = daemon.entries.get(name);
    if (state && states.length < MAX_QUOTA_ITEMS) states.push(state);
    else if (state) state.asking = false;
  }
  outgoing.delete(host);
  const items = states.map(({entry, waiters, terms: {name}}) => {
    return {name, ...createQuotaAsk(entry, waiters.length, sentAt)};
  });
  sendMessage(daemon, host, items, reply => {
    for (const [i, state] of states.entries()) {
      state.asking = false;
      const grant = reply?.[i];
      if (grant) receiveGrant(daemon, state, grant, sentAt);
      // The home has another version: this daemon grants its own part.
      else if (reply) askOwn(daemon, state);
      else if (state.waiters.length > 0) scheduleAsk(daemon, state);
    }
  });
}

/** Applies the answer to an ask and ends the wait of the requests that it serves;
 * a token that is due soon is waited for. */
function receiveGrant(
  daemon: QuotaDaemon,
  state: EntryState,
  answer: QuotaGrant,
  sentAt: number,
): void {
  const {entry} = state;
  state.asking = false;
  const now = daemon.deps.now();
  applyQuotaGrant(entry, answer, sentAt, now);
  while (state.waiters.length > 0 && spendQuota(entry, now)) {
    state.waiters.shift()?.done(decide(state, true, 0, now));
  }
  if (state.waiters.length === 0) return;
  const {waitMs} = answer;
  if (waitMs > 0) {
    const dueAt = now + waitMs;
    const waiting = state.waiters;
    state.waiters = waiting
      .filter(({expiresAt}) => expiresAt > dueAt)
      .slice(0, MAX_LATE_WAITERS);
    for (const waiter of waiting) {
      if (state.waiters.includes(waiter)) continue;
      waiter.done(decide(state, false, waitMs, now));
    }
  }
  if (state.waiters.length > 0) askAfter(daemon, state, waitMs);
}
