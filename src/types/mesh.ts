import * as z from 'zod';

const NAME = z.string().min(1).max(200);

/** Schema of a route that is selected by host and path. */
export const meshRouteSchema = z.object({
  name: NAME,
  /** Host name in lower case, without a port. */
  host: NAME,
  /** Begins and ends with a slash; the longest prefix of a host wins. */
  pathPrefix: z.string().regex(/^\/(?:.*\/)?$/),
  /** Services that share the route, in proportion to their weights. */
  parts: z
    .array(z.object({service: NAME, weight: z.number().min(0)}))
    .min(1)
    .refine(parts => parts.some(part => part.weight > 0)),
  /** True when a request may run more than once. */
  repeatable: z.boolean(),
  /** Longest time that a request is kept waiting, ms. */
  timeoutMs: z.number().positive(),
  /** Response time objective, ms. */
  goalMs: z.number().positive(),
  /** Upstreams to which one request may be sent, at most. */
  attempts: z.int().min(1),
  /** Rank in queues; 0 goes first. */
  rank: z.number().min(0),
  /** True when requests need no key of an organisation. */
  public: z.boolean().default(false),
});

/** Name that can be sent as a header value: printable ASCII, without spaces at
 * either end. */
const HEADER_NAME = NAME.regex(/^[!-~](?:[ -~]*[!-~])?$/);

/** Schema of an organisation whose customers send requests. */
export const meshOrganisationSchema = z.object({
  name: HEADER_NAME,
  /** API keys, each of which stands for this organisation. */
  keys: z.array(z.string()),
  /** Rank in queues, in place of the route's; 0 goes first. */
  rank: z.number().min(0).optional(),
  /** Requests per second at all daemons together; 0 for no limit. */
  ratePerS: z.number().min(0).default(0),
  /** Requests that may come at once beyond the rate. */
  burst: z.number().min(0).default(0),
});

/** Schema of a service in the configuration. */
export const meshServiceSchema = z.object({
  name: NAME,
  healthPath: z.string().startsWith('/'),
  /** Connections that one upstream accepts from all callers together. */
  maxConnections: z.int().min(1),
  /** Time for which an upstream stays cold after its start, ms. */
  coldMs: z.number().min(0),
  /** Requests per second that a cold upstream can handle; 0 when not stated. */
  coldPerS: z.number().min(0),
});

/** Schema of the bounds on what a customer may send. */
export const meshLimitsSchema = z.object({
  headerBytes: z.int().min(1),
  bodyBytes: z.int().min(0),
  headerTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive(),
});

/** Schema of one published configuration. */
export const meshConfigSchema = z.object({
  /** Increases with each publication, in uneven steps. */
  version: z.int().min(0),
  routes: z.array(meshRouteSchema),
  services: z.array(meshServiceSchema),
  limits: meshLimitsSchema,
  /** Absent when requests need no keys; with an empty list no key is known. */
  organisations: z.array(meshOrganisationSchema).optional(),
});

/** Most slots of an upstream; more would draw all requests of its service. */
const MAX_SLOTS = 100_000;

/** Longest time for which an upstream can say that it is cold, ms. */
export const MAX_COLD_MS = 3_600_000;

/** Latest time that a Date can hold, Unix ms. */
const MAX_UNIX_MS = 8.64e15;

/** Schema of an upstream as listed by the platform. */
export const meshUpstreamSchema = z.object({
  id: NAME,
  service: NAME,
  host: z.ipv4(),
  port: z.int().min(1).max(65_535),
  dataCentre: NAME,
  slots: z.int().min(1).max(MAX_SLOTS),
  state: z.enum(['live', 'leaving']),
  /** Remaining time as a cold upstream when the record was written, ms. */
  coldMs: z.number().min(0).max(MAX_COLD_MS),
  /** Start of this incarnation, wall ms; 0 when not stated. */
  startedAt: z.int().min(0).max(MAX_UNIX_MS),
});

/** Link rate assumed when the settings state none (10 Gbit/s). */
const DEFAULT_LINK_BYTES_PER_S = 1.25e9;

/** Heartbeat interval assumed when the settings state none, ms. */
const DEFAULT_HEARTBEAT_MS = 1_500;

/** Schema of the settings of a sidecar daemon. */
export const sidecarSettingsSchema = z.object({
  id: NAME,
  dataCentre: NAME,
  /** Service of the local upstream. */
  service: NAME,
  host: NAME,
  /** Port for customers on the same instance and the upstream's own calls. */
  customerPort: z.int().min(1).max(65_535),
  /** Port for requests forwarded by other daemons. */
  peerPort: z.int().min(1).max(65_535),
  /** Port of the readiness check. */
  readyPort: z.int().min(1).max(65_535),
  /** Port at which daemons that know no peers yet request the state. */
  controlPort: z.int().min(1).max(65_535),
  /** Control addresses (host:port) of some daemons; they may be out of date. */
  seeds: z.array(z.string()),
  /** Port of the metrics page. */
  metricsPort: z.int().min(1).max(65_535),
  upstream: z.object({host: NAME, port: z.int().min(1).max(65_535)}),
  memoryMb: z.number().positive(),
  /** Rate of the instance's network link, bytes per second. */
  linkBytesPerS: z.number().positive().default(DEFAULT_LINK_BYTES_PER_S),
  /** Time between SIGTERM and the forced end, ms. */
  graceMs: z.number().positive(),
  /** Interval at which upstreams renew their list entries, ms. */
  heartbeatMs: z.number().positive().default(DEFAULT_HEARTBEAT_MS),
  /**
   * How upstreams are compared: by requests a slot, or by the expected end of a
   * request from its cost, the upstream's speed and its work left.
   */
  placement: z.enum(['requests', 'work']).default('requests'),
  /** Requests that a cold upstream bears in any second: `over` times its cold rate,
   * and `slack`. Used with `placement: 'work'`. */
  coldBound: z
    .object({over: z.number().min(1), slack: z.number().min(0)})
    .optional(),
  /** Bounds on resends of all daemons together, per service and window. */
  resends: z.object({
    ratio: z.number().min(0),
    slack: z.number().min(0),
    windowMs: z.number().positive(),
  }),
});

/** Route of the mesh. */
export type MeshRoute = z.infer<typeof meshRouteSchema>;

/** Organisation whose customers send requests. */
export type MeshOrganisation = z.infer<typeof meshOrganisationSchema>;

/** Service of the mesh. */
export type MeshService = z.infer<typeof meshServiceSchema>;

/** Bounds on what a customer may send. */
export type MeshLimits = z.infer<typeof meshLimitsSchema>;

/** One published configuration. */
export type MeshConfig = z.infer<typeof meshConfigSchema>;

/** Upstream as listed by the platform. */
export type MeshUpstream = z.infer<typeof meshUpstreamSchema>;

/** Settings of a sidecar daemon. */
export type SidecarSettings = z.infer<typeof sidecarSettingsSchema>;

/**
 * Names of the headers that customers and upstreams use, in lower case; the
 * adapter of the platform provides them.
 */
export interface HeaderNames {
  /** Id of a request; upstreams echo it. */
  readonly requestId: string;
  /** Time that the sender will wait, ms. */
  readonly deadlineMs: string;
  /** Signature of an upstream on a response of its own. */
  readonly signature: string;
  /** Id of the only upstream that may run the request. */
  readonly expectedUpstream: string;
  /** Present on a response when the upstream has not run the request. */
  readonly notRun: string;
  /** Service on the instance where the request began. */
  readonly caller: string;
  /** Name of the organisation of the customer. */
  readonly organisation: string;
  /** Key of the customer. */
  readonly authorization: string;
  /** Id of the upstream, in its health check response. */
  readonly upstreamId: string;
  /** Remaining time as a cold upstream, in its health check response, ms. */
  readonly coldMs: string;
  /** Requests per second that the upstream takes from all instances together;
   * absent when it states no limit. */
  readonly requestLimit: string;
  /** `1` on the responses of an upstream that is about to stop. */
  readonly leaving: string;
}
