import type {Board} from './blackboard.js';

/** Age of the newest source reply known in the data centre, ms; -1 for none. */
export function computeSourceAge(board: Board, now: number): number {
  const newest = findNewestSuccess(board);
  return newest === undefined ? -1 : Math.max(0, now - newest);
}

/** Monotonic time of the newest known source reply, ms. */
export function findNewestSuccess({reader}: Board): number | undefined {
  const {succeededAt, reportedAt} = reader;
  if (succeededAt === undefined) return reportedAt;
  return Math.max(succeededAt, reportedAt ?? succeededAt);
}

/** Records the age that a peer of our data centre reports in a heartbeat. */
export function recordSourceAge(
  board: Board,
  from: string,
  sourceAgeMs: number,
  now: number,
): void {
  const record = board.members.byId.get(from)?.record;
  if (record?.dataCentre !== board.self.dataCentre || sourceAgeMs < 0) return;
  const {reader} = board;
  const at = now - sourceAgeMs;
  reader.reportedAt = Math.max(reader.reportedAt ?? at, at);
}
