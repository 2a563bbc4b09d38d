import {
  count,
  createRouteTable,
  recordListFault,
  pruneSplits,
  putUpstream,
  removeUpstream,
  type FollowDeps,
  type MeshConfig,
  type StoreUpdate,
} from '../internal.js';
import type {SidecarBoard} from './board.js';
import {wakeNewsWaiters} from './peer_news.js';

type NewsOf<K extends StoreUpdate['kind']> = Extract<StoreUpdate, {kind: K}>;

/** What to do for each kind of news. */
type NewsHandlers = {
  readonly [K in StoreUpdate['kind']]: (
    board: SidecarBoard,
    news: NewsOf<K>,
    now: number,
  ) => void;
};

const HANDLERS: NewsHandlers = {
  config: (board, {config}) => takeConfig(board, config),
  upstream: takeUpstream,
  upstreamGone(board, {id}, now) {
    if (!removeUpstream(board.list, id, now)) return;
    board.log.write('always', 'upstreamGone', {upstream: id});
  },
  dataCentre({list, log}, {name, takenOut}) {
    if (list.takenOut.has(name) === takenOut) return;
    if (takenOut) list.takenOut.add(name);
    else list.takenOut.delete(name);
    log.write('always', 'takeOutChanged', {changed: name, takenOut});
  },
  unreadable(board, {key, reason}) {
    count(board, 'store_unreadable');
    board.log.write('notable', 'storeUnreadable', {key, reason});
  },
};

/** Takes in one piece of news of the platform's store. */
export function takeNews(
  board: SidecarBoard,
  news: StoreUpdate,
  now: number,
): void {
  const handler = HANDLERS[news.kind] as (
    board: SidecarBoard,
    news: StoreUpdate,
    now: number,
  ) => void;
  handler(board, news, now);
}

/** Puts a configuration in force; an older one never replaces a newer one. */
function takeConfig(board: SidecarBoard, config: MeshConfig): void {
  const {version} = config;
  const before = board.table?.config.version ?? -1;
  if (version < before) {
    count(board, 'config_older');
    board.log.write('notable', 'configOlder', {version, before});
  }
  if (version <= before) return;
  board.table = createRouteTable(config);
  pruneSplits(board.splits, board.table);
  const routes = config.routes.length;
  board.log.write('always', 'configInForce', {version, before, routes});
}

function takeUpstream(
  board: SidecarBoard,
  {upstream}: NewsOf<'upstream'>,
  now: number,
): void {
  if (!putUpstream(board.list, upstream, now)) return;
  const {id, service, state, dataCentre, coldMs, startedAt: bornAt} = upstream;
  board.log.write('always', 'upstreamListed', {
    upstream: id,
    service,
    state,
    listedIn: dataCentre,
    coldMs,
    bornAt,
  });
}

/** Creates the handlers of what happens to the source of news. */
export function createSourceNotes(
  board: SidecarBoard,
): Pick<FollowDeps, 'onFault' | 'onRecovered' | 'onRegained' | 'onSource'> {
  const {list, log, now} = board;
  return {
    onFault(err, first) {
      recordListFault(list, now());
      count(board, 'source_faults');
      if (first) log.write('always', 'sourceLost', {reason: err.message});
      wakeNewsWaiters(board);
    },
    onRecovered() {
      count(board, 'source_recovered');
      log.write('always', 'sourceRecovered', {});
    },
    // Entries that lapsed during the outage are about to return.
    onRegained: () => recordListFault(list, now()),
    onSource(source) {
      const ageMs = board.readNewsAge();
      log.write('always', 'sourceChosen', {
        source,
        ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
        revision: board.mirror.revision,
      });
    },
  };
}
