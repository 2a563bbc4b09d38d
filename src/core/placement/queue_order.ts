// Decides which of the requests that wait for a slot of an upstream starts next.

/** Time constant with which the finished work of an organisation is forgotten,
 * ms: longer than most requests, shorter than a customer's patience. */
const SHARE_MEMORY_MS = 2_000;

/** Work below which the share of an organisation counts as none, ms. */
const MIN_SHARE_MS = 1;

/** Organisations with a share from which those without work are removed. */
const PRUNE_SHARES = 1_024;

/** What the order needs to know of a request. */
export interface OrderTerms {
  /** Priority; 0 is served first. */
  readonly rank: number;
  /** Organisation of the customer; undefined for requests without one. */
  readonly organisation?: string;
}

/** A request that waits. */
export interface OrderedRequest<R extends OrderTerms = OrderTerms> {
  readonly request: R;
  /** True when its goal can no longer be met: it goes behind those of its rank that
   * can meet theirs. Always false in the order of arrival. */
  isLate: boolean;
  /** Orders the requests of one rank and organisation, ms: the monotonic time of
   * arrival, or that of the latest start at which the goal, or the deadline of a
   * late one, is still met. */
  orderAt: number;
  /** Expected time in a slot, ms. */
  readonly runMs: number;
}

/** Work of an organisation at one upstream. */
interface OrganisationShare {
  /** Expected work of its running requests, ms. */
  runningMs: number;
  /** Work of its finished requests, which is forgotten by and by, ms. */
  finishedMs: number;
  /** Monotonic time as of which `finishedMs` holds, ms. */
  updatedAt: number;
}

/** Work of organisations at one upstream, by name. */
export type OrganisationShares = Map<string, OrganisationShare>;

/** Work that an organisation has running or had finished of late, ms. */
export function readShareMs(
  shares: OrganisationShares,
  organisation: string,
  now: number,
): number {
  const share = shares.get(organisation);
  if (!share) return 0;
  const {runningMs, finishedMs, updatedAt} = share;
  return runningMs + finishedMs * Math.exp((updatedAt - now) / SHARE_MEMORY_MS);
}

/** Records that a request of an organisation has started. */
export function recordShareStart(
  shares: OrganisationShares,
  organisation: string,
  runMs: number,
  now: number,
): void {
  if (shares.size >= PRUNE_SHARES) pruneShares(shares, now);
  const share = shares.get(organisation);
  if (share) share.runningMs += runMs;
  else {
    shares.set(organisation, {runningMs: runMs, finishedMs: 0, updatedAt: now});
  }
}

/** Records that a request which was recorded with `runMs` has ended after
 * `slotMs`. */
export function recordShareEnd(
  shares: OrganisationShares,
  organisation: string,
  runMs: number,
  slotMs: number,
  now: number,
): void {
  const share = shares.get(organisation);
  if (!share) return;
  share.runningMs = Math.max(0, share.runningMs - runMs);
  const totalMs = readShareMs(shares, organisation, now);
  share.finishedMs = totalMs - share.runningMs + slotMs;
  share.updatedAt = now;
}

function pruneShares(shares: OrganisationShares, now: number): void {
  for (const name of [...shares.keys()]) {
    if (readShareMs(shares, name, now) < MIN_SHARE_MS) shares.delete(name);
  }
}

/** Inserts a request behind those of its rank that go before it or with it. */
export function insertOrdered<T extends OrderedRequest>(
  queue: T[],
  item: T,
): void {
  let i = queue.length;
  while (i > 0 && goesBefore(item, queue[i - 1])) i--;
  queue.splice(i, 0, item);
}

function goesBefore(a: OrderedRequest, b: OrderedRequest): boolean {
  const difference = a.request.rank - b.request.rank;
  if (difference !== 0) return difference < 0;
  return a.isLate === b.isLate ? a.orderAt < b.orderAt : b.isLate;
}

/**
 * Index of the request to start next: the lowest rank, of it the organisation with
 * the least work, of that the first one. Requests without an organisation, such as
 * the calls of upstreams, keep their place in the queue. Late ones come last, unless
 * it is their turn. `queue` is in the order of `insertOrdered`, and not empty.
 */
export function pickNext(
  queue: readonly OrderedRequest[],
  shares: OrganisationShares,
  now: number,
  isLateTurn = false,
): number {
  const {rank} = queue[0].request;
  const firstLate = isLateTurn
    ? queue.findIndex(({request, isLate}) => isLate && request.rank === rank)
    : -1;
  const {isLate} = queue[Math.max(0, firstLate)];
  const seen = new Set<string>();
  let best = -1;
  let bestMs = Infinity;
  let unowned = -1;
  for (const [i, item] of queue.entries()) {
    const {request} = item;
    if (request.rank !== rank) break;
    if (item.isLate !== isLate) continue;
    const {organisation} = request;
    if (organisation === undefined) {
      if (unowned < 0) unowned = i;
    } else if (!seen.has(organisation)) {
      seen.add(organisation);
      const ms = readShareMs(shares, organisation, now);
      if (ms < bestMs) {
        best = i;
        bestMs = ms;
      }
    }
  }
  if (best < 0 || unowned < 0) return Math.max(best, unowned);
  return Math.min(best, unowned);
}

/**
 * Lists the waiting requests that are expected to start before `item`, which may
 * not wait yet. An organisation is expected to start requests up to the work that
 * the one of `item` has by then.
 */
export function listAhead<T extends OrderedRequest>(
  queue: readonly T[],
  item: OrderedRequest,
  shares: OrganisationShares,
  now: number,
): T[] {
  const {organisation, rank} = item.request;
  const earlier = queue.filter(other => !goesBefore(item, other));
  if (organisation === undefined) return earlier;
  const own = earlier.filter(
    ({request, isLate}) =>
      request.rank === rank &&
      request.organisation === organisation &&
      isLate === item.isLate,
  );
  const levelMs = own.reduce(
    (sum, {runMs}) => sum + runMs,
    readShareMs(shares, organisation, now),
  );
  const expectedMs = new Map<string, number>();
  return queue.filter(other => {
    const {request, runMs} = other;
    if (request.rank !== rank) return request.rank < rank;
    const name = request.organisation;
    if (name === undefined || name === organisation) {
      return !goesBefore(item, other);
    }
    if (other.isLate !== item.isLate) return item.isLate;
    const startMs = expectedMs.get(name) ?? readShareMs(shares, name, now);
    expectedMs.set(name, startMs + runMs);
    if (startMs !== levelMs) return startMs < levelMs;
    return !goesBefore(item, other);
  });
}
