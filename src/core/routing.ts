import type {Document, RouteConfig} from '../types/document.js';
import type {MemberRecord} from '../types/messages.js';
import type {Random} from '../utils/random.js';

/** Age above which a load hint is ignored, ms. */
export const HINT_MAX_AGE_MS = 2_000;

/** Consecutive failed or broken connections that eject an upstream. */
export const EJECT_AFTER = 3;

/** Duration of the first ejection, ms; doubles with each further one. */
export const EJECT_MIN_MS = 1_000;

/** Maximum duration of an ejection, ms. */
export const EJECT_MAX_MS = 30_000;

/** Maximum number of tracked upstreams; the oldest are dropped. */
export const MAX_TRACKED_UPSTREAMS = 2_000;

/**
 * Free capacity assumed without a current hint. It is low so that an upstream
 * that has just returned gets few requests until its replies report more.
 */
const UNKNOWN_FREE = 1;

/** Upper bound on the free capacity of a cold upstream. */
const COLD_FREE = 1;

/** Load reported by an owner in the `berylbend-load` header. */
export interface ReportedLoad {
  readonly limit: number;
  readonly inFlight: number;
  readonly queued: number;
  readonly cold: boolean;
}

/** Request results and load of one upstream, as observed by an entry. */
interface UpstreamStats {
  boot: string;
  load?: ReportedLoad;
  /** Monotonic time of the load hint, ms. */
  loadAt: number;
  /** Requests sent since the load hint. */
  sent: number;
  /** Consecutive failed or broken connections. */
  failures: number;
  /** Duration of the latest ejection, ms; a reply resets it. */
  ejectMs: number;
  /** Monotonic end of the ejection, ms; 0 when not ejected. */
  ejectedUntil: number;
}

/** State of an entry's load balancing: statistics by upstream id. */
export interface RoutingState {
  readonly stats: Map<string, UpstreamStats>;
}

/** Creates the state of an entry that has not sent a request yet. */
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
 * Normalizes a path for route matching: decodes it and removes empty segments.
 * Otherwise an encoded path could match a shorter, idempotent prefix. Returns
 * undefined for a malformed path or one with dot segments, which upstreams
 * resolve.
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
 * Suspect members are returned only when there is no live one.
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

/** Location of the entry, and ids of the upstreams tried for the request. */
export interface RoutingContext {
  readonly dataCentre: string;
  readonly region: string;
  readonly tried?: ReadonlySet<string>;
}

/**
 * Chooses one of the nearest upstreams: picks two at random and selects one of
 * them with probability proportional to its free capacity. Returns undefined
 * when every candidate has been tried.
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
 * Adds upstreams by increasing distance, up to the first distance with one that
 * is neither full nor cold. Cold upstreams of nearer distances stay in the pool
 * with a small weight, otherwise a returning data centre would stay cold.
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
  // All are reported full, but hints may be wrong: a nearest owner decides.
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
    // A new process with the same id has not failed yet.
    return stats && stats.ejectedUntil > now && stats.boot === record.boot;
  });
  if (ejected.length === 0) return candidates;
  const maxEjected = Math.floor(candidates.length / 2);
  if (ejected.length > maxEjected) {
    const getFailures = (record: MemberRecord) =>
      state.stats.get(record.id)?.failures ?? 0;
    ejected.sort((a, b) => getFailures(b) - getFailures(a));
    ejected.length = maxEjected;
  }
  return candidates.filter(record => !ejected.includes(record));
}

/** Counts a request being sent, so that bursts between two hints spread out. */
export function recordSent(state: RoutingState, record: MemberRecord): void {
  const stats = findOrCreate(state, record.id);
  if (stats.boot !== record.boot) {
    Object.assign(stats, createStats(), {boot: record.boot});
  }
  stats.sent++;
}

/**
 * Records a reply of an owner, with its load when it reported one. Returns true
 * when this ends an ejection.
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

/**
 * Marks an owner that cannot run requests as full until its next load hint, or
 * for `HINT_MAX_AGE_MS`.
 */
export function markUnavailable(
  state: RoutingState,
  id: string,
  now: number,
): void {
  const stats = findOrCreate(state, id);
  stats.load = {limit: 0, inFlight: 0, queued: 0, cold: true};
  stats.loadAt = now;
}

/**
 * Records a failed or broken connection. Returns the duration of the ejection
 * that it starts, ms; 0 for none.
 */
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
