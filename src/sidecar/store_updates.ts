import {recordLatency} from '../daemon/metrics.js';
import {isDeepStrictEqual} from 'node:util';
import {
  count,
  countSharedKeys,
  createRouteTable,
  EXPIRY_GRACE_MS,
  LATE_MS,
  pruneOrganisationCounts,
  recordListFault,
  pruneSplits,
  putUpstream,
  removeUpstream,
  setServices,
  setTakenOut,
  type FollowerDeps,
  type MeshConfig,
  type StoreUpdate,
} from '../internal.js';
import {readPosition, type SidecarBoard} from './board.js';
import {answerPendingPolls} from './peer_state.js';

type UpdateOf<K extends StoreUpdate['kind']> = Extract<StoreUpdate, {kind: K}>;

/** Handler of each kind of update. */
type UpdateHandlers = {
  readonly [K in StoreUpdate['kind']]: (
    board: SidecarBoard,
    update: UpdateOf<K>,
    now: number,
  ) => void;
};

const HANDLERS: UpdateHandlers = {
  config: (board, {config}) => applyConfig(board, config),
  upstream: applyUpstream,
  upstreamGone(board, {id}, now) {
    if (!removeUpstream(board.list, id, now)) return;
    const position = readPosition(board);
    board.log.write('always', 'upstreamGone', {upstream: id, ...position});
  },
  dataCentre({list, log}, {name, takenOut}, now) {
    if (!setTakenOut(list, name, takenOut, EXPIRY_GRACE_MS, now)) return;
    log.write('always', 'takeOutChanged', {changed: name, takenOut});
  },
  unreadable(board, {key, reason}) {
    count(board, 'store_unreadable');
    board.log.write('notable', 'storeUnreadable', {key, reason});
  },
};

/** Applies one update of the platform's store. */
export function applyUpdate(
  board: SidecarBoard,
  update: StoreUpdate,
  now: number,
): void {
  const handler = HANDLERS[update.kind] as (
    board: SidecarBoard,
    update: StoreUpdate,
    now: number,
  ) => void;
  handler(board, update, now);
}

/** Puts a configuration in force; an older one never replaces a newer one. A version
 * with other content in a later era does: the store holds nothing else of it now,
 * and daemons that start later know no other. */
function applyConfig(board: SidecarBoard, config: MeshConfig): void {
  const {version} = config;
  const inForce = board.table?.config;
  const before = inForce?.version ?? -1;
  if (version < before) {
    count(board, 'config_older');
    board.log.write('notable', 'configOlder', {version, before});
  }
  const isRewritten =
    version === before &&
    board.mirror.era > board.tableEra &&
    !isDeepStrictEqual(config, inForce);
  if (version >= before) board.tableEra = board.mirror.era;
  if (version <= before && !isRewritten) return;
  board.table = createRouteTable(config);
  pruneSplits(board.splits, board.table);
  pruneOrganisationCounts(board.organisations, config.organisations ?? []);
  applyServices(board);
  const routes = config.routes.length;
  const organisations = config.organisations?.length;
  board.log.write('always', 'configInForce', {
    version,
    before,
    routes,
    organisations,
    sharedKeys: countSharedKeys(board.table.keys) || undefined,
    ...readPosition(board),
    ageMs: roundAge(board),
    ...(isRewritten && {rewritten: true}),
  });
}

/** Applies the services that the configuration names, and that of the local
 * upstream, to the list. */
export function applyServices({settings, table, list}: SidecarBoard): void {
  if (!table) return;
  const {services, routes} = table.config;
  const names = new Set([
    settings.service,
    ...services.map(({name}) => name),
    ...routes.flatMap(({parts}) => parts.map(({service}) => service)),
  ]);
  setServices(list, names);
}

function applyUpstream(
  board: SidecarBoard,
  {upstream}: UpdateOf<'upstream'>,
  now: number,
): void {
  if (!putUpstream(board.list, upstream, now)) return;
  const {id, service, state, dataCentre, coldMs, startedAt} = upstream;
  board.log.write('always', 'upstreamListed', {
    upstream: id,
    service,
    state,
    listedIn: dataCentre,
    coldMs,
    bornAt: startedAt,
    ...readPosition(board),
    ageMs: roundAge(board),
  });
}

/** Age of the copy in whole ms; undefined without a copy. */
function roundAge({readMirrorAge}: SidecarBoard): number | undefined {
  const ageMs = readMirrorAge();
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}

/** Heartbeats that an upstream misses before its entry can expire, at least: the
 * entry outlives three intervals, and the last heartbeat was sent within one. */
const EXPIRY_HEARTBEATS = 2;

/** Creates the handlers for faults and changes of the update source. */
export function createSourceHandlers(
  board: SidecarBoard,
): Pick<
  FollowerDeps,
  'onFault' | 'onError' | 'onRecovered' | 'onRegained' | 'onSource' | 'onAnswer'
> {
  const {list, log, now, settings} = board;
  // Entries of live upstreams expire in a long outage only; an entry that goes
  // after a shorter one is that of an upstream that leaves.
  const recordOutage = (outageMs: number): void => {
    if (outageMs < EXPIRY_HEARTBEATS * settings.heartbeatMs) return;
    recordListFault(list, now());
  };
  return {
    onFault({error, isFirst, elapsedMs, outageMs}) {
      recordOutage(outageMs);
      count(board, 'source_faults');
      recordLatency(board.metrics, 'store_call_failed', elapsedMs);
      if (isFirst) {
        log.write('always', 'sourceLost', {
          reason: error.message,
          elapsedMs: Math.round(elapsedMs),
          ageMs: roundAge(board),
          ...readPosition(board),
        });
      }
      answerPendingPolls(board);
    },
    onError(err) {
      count(board, 'source_errors');
      log.write('notable', 'sourceError', {error: err.message});
    },
    onRecovered({failedCalls, elapsedMs}) {
      count(board, 'source_recovered');
      log.write('always', 'sourceRecovered', {
        failedCalls,
        elapsedMs: Math.round(elapsedMs),
        ageMs: roundAge(board),
        ...readPosition(board),
      });
    },
    // The platform has yet to restore list entries that expired in the outage.
    onRegained: recordOutage,
    onSource(source) {
      log.write('always', 'sourceChosen', {
        source,
        ageMs: roundAge(board),
        ...readPosition(board),
      });
    },
    onAnswer({source, waitMs, elapsedMs, ageMs}) {
      const lateMs = elapsedMs - waitMs;
      recordLatency(board.metrics, `${source}_answer_late`, lateMs);
      if (lateMs <= LATE_MS) return;
      log.write('always', 'sourceSlow', {
        source,
        lateMs: Math.round(lateMs),
        ageMs: Math.round(ageMs),
        lagMs: Math.round(board.lag.read()),
        ...readPosition(board),
      });
    },
  };
}
