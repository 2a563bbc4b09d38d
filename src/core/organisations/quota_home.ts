/** Shortest time for which granted tokens may be spent, counted from the ask, ms. */
const MIN_LIFE_MS = 2_000;

/** Longest such time, ms: tokens that a lost home has granted are spent beside those
 * of the daemon that stands in. */
const MAX_LIFE_MS = 6_000;

/** Time over which the demand of an entry is averaged, ms. */
export const DEMAND_MEAN_MS = 3_000;

/** Part of the life of a grant whose demand it covers; entries ask again within the
 * rest. */
export const AHEAD_SHARE = 0.8;

/** Multiple of its life up to which a token may be given back: entries name expired
 * tokens with their next ask. */
const GIVE_BACK_LIVES = 2;

/** Time after its latest ask for which an entry counts as active, ms. */
const ACTIVE_MS = 6_000;

/** Time after its latest ask for which an entry has a part of the rate at a daemon that
 * is not the home, ms. */
const ASKER_MS = 1_000;

/** Time without asks after which a daemon that is not the home starts again with few
 * tokens, ms: the home may have granted meanwhile. */
const IDLE_MS = 1_000;

/** Interval between the asks of all entries without tokens at one home, ms. */
const ASK_SPACING_MS = 20;

/** Longest time for which an entry is told to wait, ms. */
const MAX_WAIT_MS = 6_000;

/** Time of the rate that entries may hold on top of a full bucket, s. Tokens
 * whose use is not known yet would otherwise stop the refill. */
const HELD_AHEAD_S = 0.5;

/** Part of a bucket that is kept for requests that are waiting for a token. */
const RESERVE_SHARE = 0.5;

/** Longest time for which an entry is told to wait by a daemon that grants only its
 * own part, ms: it may stand in for the home or reach it again by then. */
const ALONE_WAIT_MS = 60;

/** Requests per second that the daemons which stand in for a home grant together
 * beyond the rate: organisations with a small rate are uneven over data centres. */
const STAND_IN_PER_S = 2;

/** Tokens of a full bucket beyond the burst, for those that entries hold and don't
 * use: without them an organisation with a small burst is refused below its quota. */
const SPARE_TOKENS = 4;

/** Multiple of its rate from which an organisation's entries ask in turn, also those
 * that got a token. */
const TURN_LOAD = 1.5;

/** Tokens of the buckets of one kind at their start, for all daemons together. An
 * earlier process or another daemon may have granted the others; a few starts fit
 * into the slack of the bound. */
const START_TOKENS: Record<GrantRole['kind'], number> = {
  home: 3,
  standIn: 6,
  alone: 0,
};

/** Quota of an organisation, for all daemons together. */
export interface QuotaTerms {
  readonly name: string;
  /** Requests per second; 0 for no limit. */
  readonly ratePerS: number;
  /** Requests on top of the rate. */
  readonly burst: number;
}

/** Part of an ask that concerns one organisation. */
export interface QuotaAsk {
  /** Unspent tokens that the entry keeps. */
  readonly held: number;
  /** Unspent tokens that the entry gives back. */
  readonly returned: number;
  /** Requests that are waiting for a token. */
  readonly need: number;
  /** Requests per second that the entry gets. */
  readonly perS: number;
}

/** Answer to an ask for one organisation. */
export interface QuotaGrant {
  readonly granted: number;
  /** Time until the entry may ask again, ms; 0 while tokens are left. */
  readonly waitMs: number;
  /** Time from the ask for which all tokens of the entry may be spent, ms. */
  readonly lifeMs: number;
}

/** Identity of an ask. */
export interface QuotaAsker {
  readonly host: string;
  /** Process of the entry. */
  readonly boot: string;
  /** Increases with each ask of a process. */
  readonly seq: number;
}

/** How a daemon grants tokens of an organisation. */
export interface GrantRole {
  readonly kind: 'home' | 'standIn' | 'alone';
  /** Part of the rate and of the burst that it may grant, 0 to 1. */
  readonly share: number;
}

interface Holder {
  readonly boot: string;
  readonly seq: number;
  /** Tokens that the entry may hold, as far as known. */
  readonly held: number;
  readonly perS: number;
  readonly grantedAt: number;
  readonly lifeMs: number;
}

/** Tokens of one organisation at the daemon that grants them. */
export interface QuotaHome {
  level: number;
  refilledAt: number;
  askedAt: number;
  /** Turn of the entry that was told to wait last, ms. */
  turnAt: number;
  kind: GrantRole['kind'];
  readonly holders: Map<string, Holder>;
}

/** Creates a bucket with a few tokens, filled at the rate since `since`: a home has
 * granted nothing meanwhile, nor has any other. Times are monotonic, ms. */
export function createQuotaHome(
  {kind, share}: GrantRole,
  since: number,
  now: number,
): QuotaHome {
  return {
    level: START_TOKENS[kind] * share,
    refilledAt: kind === 'home' ? since : now,
    askedAt: now,
    turnAt: now,
    kind,
    holders: new Map(),
  };
}

/** Answers the ask of an entry. `now` is monotonic time, ms. */
export function grantQuota(
  home: QuotaHome,
  terms: QuotaTerms,
  role: GrantRole,
  asker: QuotaAsker,
  ask: QuotaAsk,
  now: number,
): QuotaGrant {
  applyRole(home, role, now);
  const {host, boot, seq} = asker;
  const known = home.holders.get(host);
  // A delayed ask of the same process says less than the later one.
  if (known?.boot === boot && known.seq >= seq) {
    return {granted: 0, waitMs: 0, lifeMs: MIN_LIFE_MS};
  }
  const extraPerS = role.kind === 'standIn' ? STAND_IN_PER_S : 0;
  const perS = (terms.ratePerS + extraPerS) * role.share;
  const capacity = terms.burst * role.share + SPARE_TOKENS;
  refill(home, perS, capacity, now);
  if (known?.boot === boot && isReturnable(known, now)) {
    const unspent = Math.max(0, known.held - ask.held);
    const refund = Math.min(ask.returned, unspent);
    home.level = Math.min(capacity, home.level + refund);
  }
  const needed = Math.min(ask.need, Math.floor(home.level));
  home.level -= needed;
  const spacedMs = home.holders.size * ASK_SPACING_MS;
  const lifeMs = Math.min(MAX_LIFE_MS, Math.max(MIN_LIFE_MS, spacedMs));
  const expected = (ask.perS * lifeMs * AHEAD_SHARE) / 1_000 - ask.held;
  const demand = sumDemand(home, host, now) + ask.perS;
  const ahead = countAhead(home.level, expected, capacity, demand >= perS);
  home.level -= ahead;
  const granted = needed + ahead;
  home.holders.set(host, {
    boot,
    seq,
    held: ask.held + ahead,
    perS: ask.perS,
    grantedAt: now,
    lifeMs,
  });
  const isShort = needed < ask.need || demand > perS * TURN_LOAD;
  return {granted, waitMs: isShort ? takeTurn(home, perS, now) : 0, lifeMs};
}

function isReturnable({grantedAt, lifeMs}: Holder, now: number): boolean {
  return now - grantedAt <= GIVE_BACK_LIVES * lifeMs;
}

/** Sets the role. A bucket of another role, or one that another daemon may have
 * granted in place of, starts again with few tokens. */
function applyRole(
  home: QuotaHome,
  {kind, share}: GrantRole,
  now: number,
): void {
  const isIdle = kind !== 'home' && now - home.askedAt > IDLE_MS;
  if (home.kind !== kind || isIdle) {
    home.level = Math.min(home.level, START_TOKENS[kind] * share);
    home.refilledAt = isIdle ? now - IDLE_MS : now;
    home.holders.clear();
  }
  home.kind = kind;
  home.askedAt = now;
}

function refill(
  home: QuotaHome,
  perS: number,
  capacity: number,
  now: number,
): void {
  const gained = ((now - home.refilledAt) / 1_000) * perS;
  home.refilledAt = now;
  const limit = capacity + HELD_AHEAD_S * perS - countHeld(home, now);
  // Tokens that entries hold count towards the burst.
  const highest = Math.max(Math.min(capacity, limit), home.level);
  home.level = Math.min(capacity, highest, home.level + gained);
}

/** Tokens that entries probably hold: each spends at the rate of its demand. */
function countHeld({holders}: QuotaHome, now: number): number {
  let sum = 0;
  for (const [host, holder] of holders) {
    const {held, perS, grantedAt, lifeMs} = holder;
    const ageMs = now - grantedAt;
    if (ageMs > ACTIVE_MS && !isReturnable(holder, now)) holders.delete(host);
    else if (ageMs <= lifeMs) sum += Math.max(0, held - (perS * ageMs) / 1_000);
  }
  return sum;
}

/** Entries that have asked within the last second. */
export function countAskers({holders}: QuotaHome, now: number): number {
  let sum = 0;
  for (const {grantedAt} of holders.values()) {
    if (now - grantedAt <= ASKER_MS) sum++;
  }
  return sum;
}

/** Demand of the other active entries, requests per second. */
function sumDemand({holders}: QuotaHome, host: string, now: number): number {
  let sum = 0;
  for (const [other, {perS, grantedAt}] of holders) {
    const ageMs = now - grantedAt;
    if (other === host || ageMs > ACTIVE_MS) continue;
    sum += perS * Math.exp(-ageMs / DEMAND_MEAN_MS);
  }
  return sum;
}

/** Tokens granted ahead of demand. While the organisation asks for less than its
 * rate, part of the bucket stays for other entries. */
function countAhead(
  level: number,
  expected: number,
  capacity: number,
  isOver: boolean,
): number {
  const reserve = capacity * RESERVE_SHARE;
  if (level > reserve) {
    const room = Math.floor(level - reserve);
    const count = Math.min(Math.floor(expected), room);
    if (count > 0) return count;
  }
  const room = isOver ? level : level * (1 - RESERVE_SHARE);
  return Math.max(0, Math.min(Math.floor(expected), Math.floor(room)));
}

/** Time until a token is due to the entry, ms. Each entry gets a turn of its own: if
 * all came back at once, the bucket would overflow between their visits. */
function takeTurn(home: QuotaHome, perS: number, now: number): number {
  const dueMs = ((1 - home.level) * 1_000) / perS;
  if (home.kind === 'alone') {
    return Math.min(ALONE_WAIT_MS, Math.max(1, dueMs));
  }
  const latest = now + MAX_WAIT_MS;
  home.turnAt = Math.min(latest, Math.max(now, home.turnAt) + ASK_SPACING_MS);
  return Math.min(MAX_WAIT_MS, Math.max(dueMs, home.turnAt - now));
}
