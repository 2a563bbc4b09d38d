import {count, type Board, type Link} from './blackboard.js';
import {getPosition, type Position} from './config.js';
import {recordEvent} from './timeline.js';

/**
 * True when a peer has a higher version, or a higher index and no lower
 * version.
 */
export function isAhead(board: Board, {beat, peer}: Link): boolean {
  const ours = getPosition(board.config);
  const index = board.relay.peerIndex.get(peer) ?? 0;
  if (!beat) return index > ours.index;
  if (isConflict(ours, beat)) return false;
  if (beat.version > ours.version) return true;
  // A peer with a lower version counts only if it advanced since its heartbeat.
  if (beat.version < ours.version && index <= beat.index) return false;
  return index > ours.index;
}

/** Version and digest; one version with two digests shows a divergence. */
export type VersionIdentity = Pick<Position, 'version' | 'digest'>;

/** True for the same version with different content. */
export function isConflict(
  ours: VersionIdentity,
  theirs: VersionIdentity,
): boolean {
  return (
    ours.version > 0 &&
    ours.version === theirs.version &&
    ours.digest !== theirs.digest
  );
}

/**
 * True when the newest heartbeat shows other content at our version or index.
 * Entries are not exchanged between diverged histories.
 */
export function hasDiverged(board: Board, {beat}: Link): boolean {
  const ours = getPosition(board.config);
  if (!beat || beat.version === 0 || ours.version === 0) return false;
  if (isConflict(ours, beat)) return true;
  return beat.index === ours.index && beat.digest !== ours.digest;
}

/** Counts and records a peer that has other content at our version. */
export function recordConflict(
  board: Board,
  from: string,
  msg: VersionIdentity,
  now: number,
): void {
  const {version, digest} = msg;
  const ours = getPosition(board.config).digest;
  const key = `${version} ${ours} ${digest}`;
  if (board.relay.conflicts.get(from) === key) return;
  board.relay.conflicts.set(from, key);
  count(board, 'config_conflicts');
  const detail = {peer: from, version, ours, theirs: digest};
  recordEvent(board.timeline, 'configConflict', detail, now);
}

/** True when our position is ahead of theirs. */
export function isNewer(ours: Position, theirs: Position): boolean {
  if (ours.version !== theirs.version) return ours.version > theirs.version;
  return ours.version > 0 && ours.index > theirs.index;
}
