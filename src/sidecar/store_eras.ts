import {
  count,
  EXPIRY_GRACE_MS,
  expireUpstreams,
  FRESH_MS,
  holdBackGone,
  keepBeliefs,
  listHosts,
  markChanged,
  pruneContacts,
  pruneTargets,
  releaseBeliefs,
  type KeyChange,
  type StorePosition,
  type StoreUpdate,
} from '../internal.js';
import {pruneAnnouncements} from './announcements.js';
import type {SidecarBoard} from './board.js';
import {applyUpdate} from './store_updates.js';

/** Decodes a change of a key; undefined for unrelated keys. */
export type DecodeChange = (
  key: string,
  value: Buffer | undefined,
) => StoreUpdate | undefined;

/**
 * Applies the changes of one call. `replaced` is the position of the copy if one of
 * a later era has replaced it: what that one lacks is then kept for the grace time,
 * as its writers may be about to write it again.
 */
export function applyChanges(
  board: SidecarBoard,
  decode: DecodeChange,
  changes: readonly KeyChange[],
  replaced?: StorePosition,
): void {
  const now = board.now();
  if (replaced) applyEra(board, decode, changes, replaced, now);
  else applyAll(board, decode, changes, now);
  pruneTargets(board.balance, board.list.byId);
  pruneAnnouncements(board);
  pruneContacts(board.contacts, new Set(listHosts(board.list)));
}

function applyAll(
  board: SidecarBoard,
  decode: DecodeChange,
  changes: readonly KeyChange[],
  now: number,
): void {
  for (const {key, value} of changes) {
    const update = decode(key, value);
    if (update) applyUpdate(board, update, now);
  }
}

function applyEra(
  board: SidecarBoard,
  decode: DecodeChange,
  changes: readonly KeyChange[],
  replaced: StorePosition,
  now: number,
): void {
  const {list, log, mirror, settings, announcedLeaving} = board;
  const {byId, kept} = list;
  const goneBefore = new Map(kept.gone);
  const leaving = [...byId.values()].filter(
    ({state, held}) => state === 'leaving' && !held,
  );
  // The copy may be from before an announcement, which holds for good.
  for (const {id, startedAt} of leaving) announcedLeaving.set(id, startedAt);
  for (const [id, {startedAt, wasLeaving}] of goneBefore) {
    if (wasLeaving) announcedLeaving.set(id, startedAt);
  }
  keepBeliefs(list, EXPIRY_GRACE_MS, now);
  applyAll(board, decode, changes, now);
  const times = {
    heartbeatMs: settings.heartbeatMs,
    graceMs: EXPIRY_GRACE_MS,
  };
  const held = holdBackGone(list, goneBefore, times, now);
  markChanged(list);
  count(board, 'store_eras');
  const entries = [...byId.values()];
  const missing = entries.filter(({expiresAt}) => expiresAt !== undefined);
  log.write('always', 'storeEra', {
    era: mirror.era,
    revision: mirror.revision,
    eraBefore: replaced.era,
    revisionBefore: replaced.revision,
    changes: changes.length,
    missingKept: missing.length,
    takenOutKept: kept.takenOutUntil.size,
    keptForMs: EXPIRY_GRACE_MS,
    leavingKept: leaving.length,
    goneHeldBack: held,
    configInForce: board.table?.config.version,
  });
}

/** Gives up what was kept beyond the copy of the store for long enough; returns
 * true when anything has changed. */
export function expireBeliefs(board: SidecarBoard): boolean {
  const {list, log} = board;
  const now = board.now();
  const expired = expireUpstreams(list, now);
  for (const upstream of expired) {
    log.write('always', 'upstreamGone', {upstream, lapsed: true});
  }
  // An old copy can't tell whether the store still lacks or holds a key.
  if (board.readMirrorAge() > FRESH_MS) return false;
  const {upstreams, dataCentres} = releaseBeliefs(list, now);
  for (const upstream of upstreams) {
    log.write('always', 'upstreamListed', {upstream, wasGone: true});
  }
  for (const changed of dataCentres) {
    const fields = {changed, takenOut: false, lapsed: true};
    log.write('always', 'takeOutChanged', fields);
  }
  if (upstreams.length > 0) markChanged(list);
  return upstreams.length + dataCentres.length > 0;
}
