/** Names of the HTTP headers that daemons and customers exchange. */
export const HEADERS = {
  id: 'berylbend-id',
  deadlineMs: 'berylbend-deadline-ms',
  depth: 'berylbend-depth',
  budget: 'berylbend-budget',
  route: 'berylbend-route',
  priority: 'berylbend-priority',
  version: 'berylbend-version',
  fingerprint: 'berylbend-fingerprint',
  hlc: 'berylbend-hlc',
  auth: 'berylbend-auth',
  verdict: 'berylbend-verdict',
  reason: 'berylbend-reason',
  load: 'berylbend-load',
  /** Speed and work left of an upstream; beside `load`, since older daemons accept
   * no other form of that. */
  work: 'berylbend-work',
  /** Expected work of a forwarded request, ms at speed 1. */
  cost: 'berylbend-cost',
  boot: 'berylbend-boot',
  shed: 'berylbend-shed',
  /** Organisation of the customer; upstreams get it too. */
  organisation: 'berylbend-organisation',
  key: 'idempotency-key',
  /** Forwarding metadata between sidecars: upstream, route, rank, times. */
  terms: 'berylbend-terms',
  /** Limit that an upstream has stated to an entry, requests per second. */
  limit: 'berylbend-limit',
  /** Time after which a refused request may be retried, ms. */
  retryMs: 'berylbend-retry-ms',
  /** Time since a daemon's copy of the store was known to be current, ms. */
  ageMs: 'berylbend-age-ms',
  /** Revision of a daemon's copy of the store that has no newer content. */
  revision: 'berylbend-revision',
  /** Era of a daemon's copy of the store, unless it is 0. */
  era: 'berylbend-era',
  /** Present when the reads of the store by the daemon fail. */
  storeLost: 'berylbend-store-lost',
  /** Time for which a daemon held a poll before it answered, ms. */
  heldMs: 'berylbend-held-ms',
} as const;

/** Path under which a daemon accepts forwarded requests on its peer port. */
export const FORWARD_PREFIX = '/forward';

/** Path at which customers obtain a bound idempotency key. */
export const KEYS_PATH = '/.well-known/berylbend/keys';

/** Headers that describe one connection and must not be forwarded. */
export const CONNECTION_HEADERS: readonly string[] = [
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
];
