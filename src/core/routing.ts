import type {Document, RouteConfig} from '../types/document.js';
import type {MemberRecord} from '../types/messages.js';
import type {Random} from '../utils/random.js';

/** Age at which a load hint no longer counts, ms. */
export const HINT_MAX_AGE_MS = 2_000;

/** Consecutive connection failures that eject an upstream. */
export const EJECT_AFTER = 3;

/** First ejection, ms; doubles with each further failure. */
export const EJECT_MIN_MS = 1_000;

/** Longest ejection, ms. */
export const EJECT_MAX_MS = 30_000;

/** Upstreams that one entry keeps results of; the oldest are dropped. */
export const MAX_TRACKED_UPSTREAMS = 2_000;

/**
 * Free capacity assumed without a current hint. It is low, so that an upstream
 * that has just come back gets few requests until its replies report more.
 */
const UNKNOWN_FREE = 1;

/** Most free capacity credited to a cold upstream. */
const COLD_FREE = 1;

/** Load of an owner, as reported in the `berylbend-load` header. */
export interface ReportedLoad {
  readonly limit: number;
  readonly inFlight: number;
  readonly queued: number;
  readonly cold: boolean;
}

/** Observed results of one upstream. */
interface UpstreamStats {
  boot: string;
  load?: ReportedLoad;
  /** Monotonic time of the load hint, ms. */
  loadAt: number;
  /** Requests sent since the load hint. */
  sent: number;
  failures: number;
  ejectMs: number;
  /** Monotonic end of the ejection, ms; 0 when not ejected. */
  ejectedUntil: number;
}

/** What an entry has observed of the upstreams it sends to, by id. */
export interface RoutingState {
  readonly stats: Map<string, UpstreamStats>;
}

/** Creates the state of an entry that has sent nothing. */
export function createRoutingState(): RoutingState {
  return {stats: new Map()};
}

/** A route with its name in the document. */
export interface MatchedRoute {
  readonly name: string;
  readonly route: RouteConfig;
}

const sortedRoutes = new WeakMap<Document, MatchedRoute[]>();

/**
 * Finds the route with the longest prefix among those of the method. A prefix
 * matches only up to a segment boundary; equal prefixes are ordered by name.
 */
export function matchRoute(
  document: Document,
  method: string,
  path: string,
): MatchedRoute | undefined {
  return listRoutes(document).find(
    ({route}) =>
      (route.methods as readonly string[]).includes(method) &&
      hasPrefix(path, route.pathPrefix),
  );
}

function listRoutes(document: Document): MatchedRoute[] {
  let routes = sortedRoutes.get(document);
  if (!routes) {
    routes = Object.entries(document.routes).map(([name, route]) => ({
      name,
      route,
    }));
    routes.sort(
      (a, b) =>
        b.route.pathPrefix.length - a.route.pathPrefix.length ||
        (a.name < b.name ? -1 : 1),
    );
    sortedRoutes.set(document, routes);
  }
  return routes;
}

function hasPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  if (path.length === prefix.length || prefix.endsWith('/')) return true;
  return path[prefix.length] === '/';
}

/**
 * Form of a path used to match routes: decoded, without empty segments. An
 * encoded spelling must not reach a shorter, idempotent prefix. Undefined when
 * the path is malformed or has dot segments, which upstreams resolve.
 */
export function normalizePath(path: string): string | undefined {
  if (!path.startsWith('/')) return undefined;
  if (!/%|\/\/|\/\.|\\/.test(path)) return path;
  let decoded: string;
  try {
    decoded = decodeURIComponent(path);
  } catch {
    return undefined;
  }
  if (/[\\\u0000-\u001f\u007f]/.test(decoded)) return undefined;
  if (decoded.split('/').some(part => part === '.' || part === '..')) {
    return undefined;
  }
  return decoded.replace(/\/{2,}/g, '/');
}

/**
 * Members that may get requests of a service under a document: in a data
 * centre that is `in` and runs the service, and neither leaving nor gone.
 * Suspect members count only when no live one is left.
 */
export function findCandidates(
  document: Document,
  service: string,
  members: Iterable<MemberRecord>,
): MemberRecord[] {
  const live: MemberRecord[] = [];
  const suspect: MemberRecord[] = [];
  const runsIn = document.services[service]?.dataCentres ?? [];
  for (const record of members) {
    if (record.service !== service) continue;
    if (!runsIn.includes(record.dataCentre)) continue;
    if (document.dataCentres[record.dataCentre]?.state !== 'in') continue;
    if (record.state === 'live') live.push(record);
    else if (record.state === 'suspect') suspect.push(record);
  }
  return live.length > 0 ? live : suspect;
}

/** Location of the entry, and upstreams already tried for the request. */
export interface RoutingContext {
  readonly dataCentre: string;
  readonly region: string;
  readonly tried?: ReadonlySet<string>;
}

/**
 * Chooses an upstream: nearest distance first, two random choices, the one
 * selected with probability in proportion to its free capacity. Returns
 * undefined when every candidate has been tried.
 */
export function chooseUpstream(
  state: RoutingState,
  candidates: readonly MemberRecord[],
  context: RoutingContext,
  random: Random,
  now: number,
): MemberRecord | undefined {
  const notEjected = excludeEjected(state, candidates, now);
  let usable = notEjected.filter(record => !context.tried?.has(record.id));
  if (usable.length === 0) {
    usable = candidates.filter(record => !context.tried?.has(record.id));
  }
  if (usable.length === 0) return undefined;
  const pool = collectPool(state, usable, context, now);
  if (pool.length === 1) return pool[0];
  const first = pickIndex(pool.length, random);
  // The offset makes the second choice differ from the first.
  const offset = 1 + pickIndex(pool.length - 1, random);
  const second = (first + offset) % pool.length;
  const a = computeFreeCapacity(state, pool[first], now);
  const b = computeFreeCapacity(state, pool[second], now);
  const share = a + b > 0 ? a / (a + b) : 0.5;
  return random() < share ? pool[first] : pool[second];
}

function pickIndex(length: number, random: Random): number {
  return Math.floor(random() * length);
}

/**
 * Visits the distances in order until one has an upstream that is neither full
 * nor cold. Cold upstreams of nearer distances stay in the pool with their
 * small weight; without that traffic a returning data centre would stay cold.
 */
function collectPool(
  state: RoutingState,
  usable: readonly MemberRecord[],
  context: RoutingContext,
  now: number,
): MemberRecord[] {
  const pool: MemberRecord[] = [];
  const distances = usable.map(record => computeDistance(record, context));
  for (let distance = 0; distance <= 2; distance++) {
    let foundWarm = false;
    for (let i = 0; i < usable.length; i++) {
      if (distances[i] !== distance) continue;
      if (computeFreeCapacity(state, usable[i], now) <= 0) continue;
      pool.push(usable[i]);
      foundWarm ||= !isCold(state, usable[i].id, now);
    }
    if (foundWarm) break;
  }
  if (pool.length > 0) return pool;
  // All report full; the owner of a nearest one decides, hints may be wrong.
  const nearest = Math.min(...distances);
  return usable.filter((_, i) => distances[i] === nearest);
}

function computeDistance(record: MemberRecord, from: RoutingContext): number {
  if (record.dataCentre === from.dataCentre) return 0;
  return record.region === from.region ? 1 : 2;
}

/** Last known free capacity of an upstream, in requests; 0 when full. */
export function computeFreeCapacity(
  state: RoutingState,
  record: MemberRecord,
  now: number,
): number {
  const stats = state.stats.get(record.id);
  if (!stats?.load || isOutdated(stats, record.boot, now)) return UNKNOWN_FREE;
  const {limit, inFlight, queued, cold} = stats.load;
  const free = limit - inFlight - queued - stats.sent;
  return Math.max(0, cold ? Math.min(COLD_FREE, free) : free);
}

function isOutdated(stats: UpstreamStats, boot: string, now: number): boolean {
  return now - stats.loadAt > HINT_MAX_AGE_MS || stats.boot !== boot;
}

function isCold(state: RoutingState, id: string, now: number): boolean {
  const stats = state.stats.get(id);
  if (!stats?.load || now - stats.loadAt > HINT_MAX_AGE_MS) return false;
  return stats.load.cold;
}

/** Excludes ejected upstreams, but never more than half of the candidates. */
function excludeEjected(
  state: RoutingState,
  candidates: readonly MemberRecord[],
  now: number,
): readonly MemberRecord[] {
  const ejected = candidates.filter(record => {
    const stats = state.stats.get(record.id);
    // A new process at the same id has not failed yet.
    return stats && stats.ejectedUntil > now && stats.boot === record.boot;
  });
  if (ejected.length === 0) return candidates;
  const maxEjected = Math.floor(candidates.length / 2);
  if (ejected.length > maxEjected) {
    const failures = (record: MemberRecord) =>
      state.stats.get(record.id)?.failures ?? 0;
    ejected.sort((a, b) => failures(b) - failures(a));
    ejected.length = maxEjected;
  }
  return candidates.filter(record => !ejected.includes(record));
}

/** Records that a request is being sent, so that bursts spread between hints. */
export function recordSent(state: RoutingState, record: MemberRecord): void {
  const stats = findOrCreate(state, record.id);
  if (stats.boot !== record.boot) {
    Object.assign(stats, createStats(), {boot: record.boot});
  }
  stats.sent++;
}

/**
 * Records an answer of an owner, with its load when it reported one. Returns
 * true when this ends an ejection.
 */
export function recordReply(
  state: RoutingState,
  id: string,
  load: ReportedLoad | undefined,
  now: number,
): boolean {
  const stats = findOrCreate(state, id);
  const wasEjected = stats.ejectMs > 0;
  stats.failures = 0;
  stats.ejectMs = 0;
  stats.ejectedUntil = 0;
  if (load) {
    stats.load = load;
    stats.loadAt = now;
    stats.sent = 0;
  }
  return wasEjected;
}

/** Records that an owner cannot run requests; full until the hint expires. */
export function markUnavailable(
  state: RoutingState,
  id: string,
  now: number,
): void {
  const stats = findOrCreate(state, id);
  stats.load = {limit: 0, inFlight: 0, queued: 0, cold: true};
  stats.loadAt = now;
}

/** Records a failed connection. Returns the ejection in ms, 0 for none. */
export function countFailure(
  state: RoutingState,
  id: string,
  now: number,
): number {
  const stats = findOrCreate(state, id);
  stats.failures++;
  if (stats.failures < EJECT_AFTER) return 0;
  // Failures of requests sent before the ejection do not lengthen it.
  if (stats.ejectedUntil > now) return 0;
  stats.ejectMs = Math.min(EJECT_MAX_MS, stats.ejectMs * 2 || EJECT_MIN_MS);
  stats.ejectedUntil = now + stats.ejectMs;
  return stats.ejectMs;
}

function createStats(): UpstreamStats {
  return {
    boot: '',
    loadAt: 0,
    sent: 0,
    failures: 0,
    ejectMs: 0,
    ejectedUntil: 0,
    load: undefined,
  };
}

function findOrCreate(state: RoutingState, id: string): UpstreamStats {
  let stats = state.stats.get(id);
  if (!stats) {
    stats = createStats();
    if (state.stats.size >= MAX_TRACKED_UPSTREAMS) {
      const [oldest] = state.stats.keys();
      state.stats.delete(oldest);
    }
    state.stats.set(id, stats);
  }
  return stats;
}
