import {
  AHEAD_SHARE,
  DEMAND_MEAN_MS,
  type QuotaAsk,
  type QuotaGrant,
} from './quota_home.js';

/** Demand from which an entry asks before it is out of tokens, requests/s. */
const AHEAD_PER_S = 2;

/** Time of the demand below which an entry asks for more tokens, ms. */
const LOW_MS = 300;

/** Shortest time between two asks that no request waits for, ms. */
const AHEAD_INTERVAL_MS = 300;

/** Tokens of one organisation at one entry. */
export interface QuotaEntry {
  /** Tokens that may be spent until `expiresAt`. */
  tokens: number;
  expiresAt: number;
  /** Life of the latest grant, ms. */
  lifeMs: number;
  /** Expired tokens that the next ask gives back. */
  expired: number;
  /** Mean demand at `demandAt`, requests per second. */
  perS: number;
  demandAt: number;
  /** Monotonic time until which no ask is sent, as no token is due, ms. */
  waitUntil: number;
  askedAt: number;
  /** Monotonic time of the latest answer, ms. */
  answeredAt: number;
}

/** Creates the state of an entry without tokens. */
export function createQuotaEntry(): QuotaEntry {
  return {
    tokens: 0,
    expiresAt: -Infinity,
    lifeMs: 0,
    expired: 0,
    perS: 0,
    demandAt: -Infinity,
    waitUntil: -Infinity,
    askedAt: -Infinity,
    answeredAt: -Infinity,
  };
}

/** Mean demand, requests per second. */
export function readDemand(entry: QuotaEntry, now: number): number {
  return entry.perS * Math.exp((entry.demandAt - now) / DEMAND_MEAN_MS);
}

/** Records one request. `now` is monotonic time, ms. */
export function recordDemand(entry: QuotaEntry, now: number): void {
  entry.perS = readDemand(entry, now) + 1_000 / DEMAND_MEAN_MS;
  entry.demandAt = now;
}

/** Spends a token; false when none is left. */
export function spendQuota(entry: QuotaEntry, now: number): boolean {
  expireTokens(entry, now);
  if (entry.tokens < 1) return false;
  entry.tokens--;
  return true;
}

/** Drops all tokens, as those of a quota that a version has lowered. */
export function dropQuota(entry: QuotaEntry): void {
  entry.tokens = 0;
  entry.expired = 0;
}

/** Puts back the token of a request that no upstream has got. */
export function restoreQuota(entry: QuotaEntry, now: number): void {
  if (now < entry.expiresAt) entry.tokens++;
}

/** Time until the entry may ask, ms; 0 when it may. */
export function readQuotaWaitMs({waitUntil}: QuotaEntry, now: number): number {
  return Math.max(0, waitUntil - now);
}

/** True when more tokens are needed soon though no request waits for one. */
export function needsQuotaSoon(entry: QuotaEntry, now: number): boolean {
  const {tokens, askedAt, waitUntil} = entry;
  if (now < waitUntil || now - askedAt < AHEAD_INTERVAL_MS) return false;
  const perS = readDemand(entry, now);
  return perS >= AHEAD_PER_S && tokens < (perS * LOW_MS) / 1_000;
}

/** Creates the ask of an entry with `need` waiting requests; what it does not
 * expect to spend is given back. */
export function createQuotaAsk(
  entry: QuotaEntry,
  need: number,
  now: number,
): QuotaAsk {
  expireTokens(entry, now);
  const perS = readDemand(entry, now);
  const most = Math.ceil((perS * entry.lifeMs * AHEAD_SHARE) / 1_000) + 1;
  const surplus = Math.max(0, entry.tokens - most);
  const returned = entry.expired + surplus;
  entry.tokens -= surplus;
  entry.expired = 0;
  entry.askedAt = now;
  return {
    held: entry.tokens,
    returned,
    need,
    perS: Math.round(perS * 100) / 100,
  };
}

/** Applies the answer to an ask that was sent at `sentAt`, ms. */
export function applyQuotaGrant(
  entry: QuotaEntry,
  {granted, waitMs, lifeMs}: QuotaGrant,
  sentAt: number,
  now: number,
): void {
  expireTokens(entry, now);
  entry.tokens += granted;
  entry.lifeMs = lifeMs;
  entry.expiresAt = sentAt + lifeMs;
  entry.answeredAt = now;
  entry.waitUntil = now + waitMs;
}

/** Expires tokens so that none is spent once the home counts it as gone. */
function expireTokens(entry: QuotaEntry, now: number): void {
  if (now < entry.expiresAt) return;
  entry.expired += entry.tokens;
  entry.tokens = 0;
}
