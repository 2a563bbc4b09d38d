import {computeBackoff} from '../utils/backoff.js';
import {computeRendezvousWeight} from '../utils/hash.js';
import {count, type Board, type Effect} from './blackboard.js';
import type {Member} from './members.js';
import type {OverlayState} from './overlay_state.js';

/** Number of peers dialled in the local data centre. */
export const OWN_PEERS = 3;

/** Peers dialled in other data centres; more if the local one is small. */
export const OTHER_PEERS = 1;

/** Maximum number of accepted links; four are expected on average. */
export const MAX_ACCEPTED = 12;

/** Maximum number of dials started in one tick. */
export const DIALS_PER_TICK = 2;

/** Maximum number of concurrent dials. */
export const MAX_DIALS = 4;

/** Time after which a dial without a result counts as failed, ms. */
export const DIAL_TIMEOUT_MS = 5_000;

/** Members per data centre that redial one gone member or data centre. */
export const REDIALLERS_PER_DATA_CENTRE = 2;

/** Minimum redial interval of a gone member, ms; jitter at most doubles it. */
export const REDIAL_MS = 10_000;

/** Minimum redial interval of a lost data centre, ms; same jitter. */
export const LOST_DATA_CENTRE_REDIAL_MS = 1_000;

/** Time without contact after which an unlisted live member is dialled, ms. */
export const UNLISTED_PROBE_MS = 60_000;

/** Mean delay before redialling a peer at its link limit, ms. */
export const FULL_PEER_RETRY_MS = 30_000;

/** Minimum age at which a surplus link may be closed, ms. */
export const MIN_SURPLUS_AGE_MS = 30_000;

/** Minimum time between closing two surplus links, ms. */
export const SURPLUS_CLOSE_INTERVAL_MS = 5_000;

/** Delay after a dial was rejected in favour of an older link, ms. */
const DUPLICATE_RETRY_MS = 1_000;

/** Interval of peer selection while all target links are up, ms. */
const SCAN_INTERVAL_MS = 1_000;

const DIAL_BACKOFF_MS = 500;
const DIAL_BACKOFF_CAP_MS = 10_000;
const ISOLATED_BACKOFF_MS = 200;
const ISOLATED_BACKOFF_CAP_MS = 2_000;

/** Selects peers to dial and links to close. */
export function tickOverlay(board: Board, now: number): Effect[] {
  if (board.self.state !== 'live') return [];
  const {dials} = board.overlay;
  for (const [id, startedAt] of dials) {
    if (now - startedAt >= DIAL_TIMEOUT_MS) dials.delete(id);
  }
  if (now < board.overlay.nextScanAt) return [];
  const targets = chooseTargets(board, now);
  const isSettled = targets.every(({record}) => board.links.has(record.id));
  if (isSettled) board.overlay.nextScanAt = now + SCAN_INTERVAL_MS;
  const wanted = [
    ...targets,
    ...findProbes(board, now),
    ...findIsolatedDials(board, targets, now),
    ...findRedials(board, now),
  ];
  const effects = startDials(board, wanted, now);
  return [...effects, ...closeSurplus(board, targets, now)];
}

function startDials(board: Board, wanted: Member[], now: number): Effect[] {
  const {dials} = board.overlay;
  const effects: Effect[] = [];
  for (const member of wanted) {
    const {id} = member.record;
    if (board.links.has(id) || dials.has(id)) continue;
    if (effects.length >= DIALS_PER_TICK || dials.size >= MAX_DIALS) break;
    dials.set(id, now);
    count(board, 'dials');
    effects.push({kind: 'dial', to: member.record});
  }
  return effects;
}

/** Selects the live members that this daemon keeps links to. */
export function chooseTargets(board: Board, now: number): Member[] {
  const own: Member[] = [];
  const other: Member[] = [];
  const slots = OWN_PEERS + OTHER_PEERS;
  for (const member of board.members.byId.values()) {
    if (!isEligible(board, member, now)) continue;
    const isOwn = member.record.dataCentre === board.self.dataCentre;
    insertHeaviest(board, isOwn ? own : other, member, slots);
  }
  own.length = Math.min(own.length, OWN_PEERS);
  return [...own, ...other.slice(0, slots - own.length)];
}

function isEligible(board: Board, member: Member, now: number): boolean {
  const {id, state} = member.record;
  if (state !== 'live') return false;
  if (board.links.has(id)) return true;
  const refusedUntil = board.overlay.refusedUntil.get(id) ?? 0;
  return member.nextDialAt <= now && refusedUntil <= now;
}

/** Inserts into a bounded list in descending order of weight. */
function insertHeaviest(
  board: Board,
  list: Member[],
  member: Member,
  limit: number,
): void {
  const weight = getWeight(board, member.record.id);
  let at = list.length;
  while (at > 0 && getWeight(board, list[at - 1].record.id) < weight) at--;
  if (at >= limit) return;
  list.splice(at, 0, member);
  if (list.length > limit) list.pop();
}

/** Returns the cached weight; it never changes for a pair of ids. */
function getWeight(board: Board, id: string): number {
  const {weights} = board.overlay;
  let weight = weights.get(id);
  if (weight === undefined) {
    if (weights.size > 2 * board.members.byId.size + 64) weights.clear();
    weight = computeRendezvousWeight(board.self.id, id);
    weights.set(id, weight);
  }
  return weight;
}

/** Finds members whose link broke, to dial them and see if they are alive. */
function findProbes(board: Board, now: number): Member[] {
  return [...board.members.byId.values()].filter(
    member => member.needsProbe && member.nextDialAt <= now,
  );
}

/**
 * Picks a random member to dial, even one presumed dead, in the local data
 * centre if no live peer is available there, and likewise in the others.
 */
function findIsolatedDials(
  board: Board,
  targets: readonly Member[],
  now: number,
): Member[] {
  const {overlay, self, random} = board;
  const lost: Member[] = [];
  for (const isOwn of [true, false]) {
    const isSide = (member: Member): boolean =>
      (member.record.dataCentre === self.dataCentre) === isOwn;
    if (targets.some(isSide)) continue;
    const side = [...board.members.byId.values()].filter(
      member => isSide(member) && member.record.state !== 'leaving',
    );
    const picked = pick(side, random);
    if (picked) lost.push(picked);
  }
  if (lost.length === 0) overlay.isolatedTries = 0;
  if (lost.length === 0 || now < overlay.nextIsolatedAt) return [];
  const wait = computeBackoff(
    overlay.isolatedTries++,
    ISOLATED_BACKOFF_MS,
    ISOLATED_BACKOFF_CAP_MS,
    random,
  );
  overlay.nextIsolatedAt = now + wait;
  return lost;
}

function pick<T>(items: readonly T[], random: () => number): T | undefined {
  return items[Math.floor(random() * items.length)];
}

/**
 * Finds gone members and lost data centres to redial. Only two members per data
 * centre redial each of them, to avoid a dial storm after a large outage.
 */
function findRedials(board: Board, now: number): Member[] {
  const due: Member[] = [];
  const lost = new Map<string, Member[] | undefined>();
  for (const member of board.members.byId.values()) {
    const {dataCentre, state} = member.record;
    if (state === 'live') lost.set(dataCentre, undefined);
    else if (!lost.has(dataCentre)) lost.set(dataCentre, [member]);
    else lost.get(dataCentre)?.push(member);
    if (isRedialDue(board, member, now)) due.push(member);
  }
  for (const [dataCentre, members] of lost) {
    if (members === undefined || dataCentre === board.self.dataCentre) continue;
    const member = pickLost(board, dataCentre, members, now);
    if (member) due.unshift(member);
  }
  return due;
}

function isRedialDue(board: Board, member: Member, now: number): boolean {
  if (board.links.has(member.record.id)) return false;
  const {state, id, incarnation} = member.record;
  const isUnlisted =
    state === 'live' &&
    board.members.listSeen &&
    !member.listed &&
    incarnation > 0 &&
    now - member.lastSeenAt >= UNLISTED_PROBE_MS;
  if (state !== 'gone' && !isUnlisted) return false;
  const first = member.nextDialAt === 0 && state === 'gone';
  if (!first && member.nextDialAt > now) return false;
  const wait = isUnlisted ? UNLISTED_PROBE_MS : REDIAL_MS;
  member.nextDialAt = now + wait * (1 + board.random());
  return !first && isRedialler(board, id);
}

function pickLost(
  board: Board,
  dataCentre: string,
  members: Member[],
  now: number,
): Member | undefined {
  const {lostRedialAt} = board.overlay;
  if (now < (lostRedialAt.get(dataCentre) ?? 0)) return undefined;
  lostRedialAt.set(
    dataCentre,
    now + LOST_DATA_CENTRE_REDIAL_MS * (1 + board.random()),
  );
  const candidates = members.filter(m => m.record.state !== 'leaving');
  if (!isRedialler(board, dataCentre)) return undefined;
  return pick(candidates, board.random);
}

/** True if this daemon is among those of its data centre that redial a key. */
function isRedialler(board: Board, key: string): boolean {
  const {self} = board;
  const own = computeRendezvousWeight(`redial/${key}`, self.id);
  let heavier = 0;
  for (const {record} of board.members.byId.values()) {
    if (record.dataCentre !== self.dataCentre) continue;
    if (record.state !== 'live') continue;
    if (computeRendezvousWeight(`redial/${key}`, record.id) <= own) continue;
    if (++heavier >= REDIALLERS_PER_DATA_CENTRE) return false;
  }
  return true;
}

/** Closes one old surplus link once all target links are up. */
function closeSurplus(
  board: Board,
  targets: readonly Member[],
  now: number,
): Effect[] {
  const {overlay, links} = board;
  if (now < overlay.nextTrimAt) return [];
  const wanted = new Set(targets.map(member => member.record.id));
  for (const id of wanted) if (!links.has(id)) return [];
  for (const link of links.values()) {
    if (!link.dialled || wanted.has(link.peer)) continue;
    if (now - link.upAt < MIN_SURPLUS_AGE_MS) continue;
    // The loss of this link shows when a leaving daemon has stopped.
    const state = board.members.byId.get(link.peer)?.record.state;
    if (state === 'leaving') continue;
    overlay.nextTrimAt = now + SURPLUS_CLOSE_INTERVAL_MS;
    return [{kind: 'close', to: link.peer, reason: 'surplus'}];
  }
  return [];
}

/** True if the limit of accepted links is reached. */
export function isFull(board: Board): boolean {
  let accepted = 0;
  for (const link of board.links.values()) if (!link.dialled) accepted++;
  return accepted >= MAX_ACCEPTED;
}

/** Records the end of a dial or of a dialled link and schedules retries. */
export function endDial(
  board: Board,
  peer: string,
  reason: string,
  now: number,
): void {
  const {overlay, members, random} = board;
  overlay.dials.delete(peer);
  if (reason === 'full') {
    const until = now + FULL_PEER_RETRY_MS * (0.5 + random());
    overlay.refusedUntil.set(peer, until);
  }
  if (reason === 'duplicate') {
    // The peer keeps the older link until its silence timeout.
    overlay.refusedUntil.set(peer, now + DUPLICATE_RETRY_MS);
  }
  const member = members.byId.get(peer);
  if (member === undefined || reason !== 'dial-failed') return;
  if (member.record.state === 'gone') return;
  member.nextDialAt =
    now +
    computeBackoff(
      member.dialFailures++,
      DIAL_BACKOFF_MS,
      DIAL_BACKOFF_CAP_MS,
      random,
    );
}

/** Removes expired redial delays. */
export function sweepOverlay(overlay: OverlayState, now: number): void {
  for (const [id, until] of overlay.refusedUntil) {
    if (until <= now) overlay.refusedUntil.delete(id);
  }
}
