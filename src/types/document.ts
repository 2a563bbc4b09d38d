import * as z from 'zod';

const NAME = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/);

/** Request priority, most urgent first. */
export const PRIORITIES = ['urgent', 'booking', 'read', 'download'] as const;

/** Schema of a request priority. */
export const prioritySchema = z.enum(PRIORITIES);

/** Priority of the requests of a route. */
export type Priority = z.infer<typeof prioritySchema>;

/** Schema of a data centre; `out` means that it gets no new requests. */
export const dataCentreSchema = z.strictObject({
  region: NAME,
  state: z.enum(['in', 'out']).default('in'),
});

/** Schema of a service; limits apply to each of its upstreams. */
export const serviceSchema = z.strictObject({
  slots: z.int().min(1).max(10_000),
  connections: z.int().min(1).max(100_000),
  dataCentres: z.array(NAME).min(1),
  downloadShare: z.number().min(0).max(1).default(0.5),
  expectedMs: z.number().positive().default(50),
});

/** Schema of a route; the longest matching path prefix wins. */
export const routeSchema = z.strictObject({
  pathPrefix: z.string().regex(/^\/[^\s?#]*$/),
  methods: z
    .array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']))
    .min(1),
  service: NAME,
  idempotent: z.boolean().default(false),
  priority: prioritySchema.default('read'),
  timeoutMs: z.int().min(1).max(3_600_000).default(10_000),
  /** True when requests need no key of an organisation. Without a default, so that
   * the digests of documents without it stay. */
  public: z.boolean().optional(),
});

/** Most characters of an API key. */
const MAX_API_KEY = 8_192;

/** Schema of an organisation whose customers send requests. */
export const organisationSchema = z.strictObject({
  keys: z.array(z.string().min(1).max(MAX_API_KEY)),
  /** Priority of its requests, in place of the route's. */
  priority: prioritySchema.optional(),
  /** Requests per second at all daemons together; no limit when absent. */
  ratePerS: z.number().positive().optional(),
  /** Requests that may come at once; needed beside a rate. */
  burst: z.number().min(1).optional(),
});

/** Schema of the whole configuration document. */
export const documentSchema = z.strictObject({
  dataCentres: z.record(NAME, dataCentreSchema),
  services: z.record(NAME, serviceSchema),
  routes: z.record(NAME, routeSchema),
  /** Requests need no keys when absent; when empty no key is known. */
  organisations: z.record(NAME, organisationSchema).optional(),
});

/** Configuration document with defaults applied. */
export type Document = z.infer<typeof documentSchema>;

/** Service part of the document. */
export type ServiceConfig = z.infer<typeof serviceSchema>;

/** Route part of the document. */
export type RouteConfig = z.infer<typeof routeSchema>;

/** Organisation part of the document. */
export type OrganisationConfig = z.infer<typeof organisationSchema>;

/** Schema of a digest: 32 hex digits of SHA-256 over canonical JSON. */
export const digestSchema = z.string().regex(/^[0-9a-f]{32}$/);

const AUTHOR = z.string().min(1).max(100);
const NOTE = z.string().max(500).default('');

/** Schema of a published snapshot. The document is validated when applied. */
export const snapshotSchema = z.strictObject({
  version: z.int().min(1),
  digest: digestSchema,
  document: z.unknown(),
  author: AUTHOR,
  note: NOTE,
});

/** Schema of a published patch: RFC 6902 operations on a numbered base. */
export const patchSchema = z.strictObject({
  base: z.int().min(1),
  baseDigest: digestSchema,
  ops: z
    .array(
      z.looseObject({
        op: z.enum(['add', 'remove', 'replace', 'move', 'copy', 'test']),
        path: z.string(),
      }),
    )
    .min(1)
    .max(1_000),
  author: AUTHOR,
  note: NOTE,
});

/** Published snapshot. */
export type Snapshot = z.infer<typeof snapshotSchema>;

/** Published patch. */
export type Patch = z.infer<typeof patchSchema>;

/** Schema of one entry of the configuration service's series, as relayed. */
export const entrySchema = z.strictObject({
  /** Index assigned by the platform, increasing along the series. */
  index: z.int().min(1),
  /** Index of the entry before this one, 0 for the first. */
  prev: z.int().min(0),
  kind: z.string().max(32),
  value: z.unknown(),
});

/** One entry of the series; `kind` and `value` are validated when applied. */
export type Entry = z.infer<typeof entrySchema>;

/** Schema of a refused entry, kept for operators. */
export const refusalSchema = z.strictObject({
  index: z.int(),
  author: z.string(),
  base: z.int(),
  reason: z.string().max(500),
});

/** Refused entry with the reason. */
export type Refusal = z.infer<typeof refusalSchema>;

/** An accepted version; immutable, shared by reference. */
export interface Version {
  readonly version: number;
  readonly digest: string;
  /** Index of the entry that made this version. */
  readonly index: number;
  readonly document: Document;
}
