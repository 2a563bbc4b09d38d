import * as z from 'zod';
import {digestSchema, entrySchema, refusalSchema} from './document.js';

const ID = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/);
const MS = z.number().min(0);

/** Number of buckets that the member table is hashed into. */
export const MEMBER_BUCKETS = 16;

/** Largest frame on a peer link, bytes; a checkpoint of a 1 MB document fits. */
export const MAX_FRAME_BYTES = 1_500_000;

/** Member states in order of precedence at equal incarnation. */
export const MEMBER_STATES = ['live', 'suspect', 'leaving', 'gone'] as const;

/** Schema of a member record as exchanged between daemons. */
export const memberSchema = z.strictObject({
  id: ID,
  /** 0 when known from the instance list only. */
  incarnation: z.int().min(0),
  /** Id of the process: 16 random hex digits; empty when not yet known. */
  boot: z.string().regex(/^([0-9a-f]{16})?$/),
  dataCentre: ID,
  region: ID,
  service: ID,
  host: z.string().max(64),
  customerPort: z.int().min(0).max(65_535),
  peerPort: z.int().min(1).max(65_535),
  state: z.enum(MEMBER_STATES),
});

/** One daemon and its upstream as a member of the mesh. */
export type MemberRecord = z.infer<typeof memberSchema>;

/** State of a member. */
export type MemberState = MemberRecord['state'];

/** Schema of a hybrid logical clock timestamp: wall ms and counter. */
export const hlcSchema = z.tuple([z.int().min(0), z.int().min(0)]);

/** Hybrid logical clock timestamp. */
export type Hlc = z.infer<typeof hlcSchema>;

/** Schema of a report of a request in flight when an upstream crashed. */
export const crashReportSchema = z.strictObject({
  fingerprint: z.string().regex(/^[0-9a-f]{16,64}$/),
  service: ID,
  upstream: ID,
  /** Number of crashes of distinct upstreams seen for this fingerprint. */
  crashes: z.int().min(1),
  /** Age of the report, ms. */
  ageMs: MS,
});

/** Report of a request in flight when an upstream crashed. */
export type CrashReport = z.infer<typeof crashReportSchema>;

/** Schemas of all messages on an established link, by `t`. */
export const MESSAGES = {
  beat: z.strictObject({
    t: z.literal('beat'),
    hlc: hlcSchema,
    index: z.int().min(0),
    version: z.int().min(0),
    digest: z.union([digestSchema, z.literal('')]),
    /** Age of the newest source reply known in this data centre, ms; -1 if none. */
    sourceAgeMs: z.number().min(-1),
    /** Bucket hashes of the member table; empty if sent unchanged recently. */
    buckets: z
      .array(z.int().min(0))
      .max(MEMBER_BUCKETS)
      .refine(list => list.length % MEMBER_BUCKETS === 0),
    /** False until a peer has confirmed the sender's version. */
    confirmed: z.boolean(),
    /** Nonce of a resumed daemon that needs an immediate reply. */
    ask: z.int().min(0).optional(),
    /** Nonce of the heartbeat that this one replies to. */
    echo: z.int().min(0).optional(),
  }),
  entries: z.strictObject({
    t: z.literal('entries'),
    after: z.int().min(0),
    entries: z.array(entrySchema).max(1_024),
  }),
  want: z.strictObject({
    t: z.literal('want'),
    after: z.int().min(0),
    version: z.int().min(0),
    digest: z.union([digestSchema, z.literal('')]),
  }),
  checkpoint: z.strictObject({
    t: z.literal('checkpoint'),
    index: z.int().min(0),
    version: z.int().min(1),
    digest: digestSchema,
    document: z.unknown(),
    refusals: z.array(refusalSchema).max(64),
  }),
  busy: z.strictObject({t: z.literal('busy'), retryAfterMs: MS}),
  members: z.strictObject({
    t: z.literal('members'),
    records: z.array(memberSchema).max(2_000),
  }),
  wantMembers: z.strictObject({
    t: z.literal('wantMembers'),
    buckets: z
      .array(
        z
          .int()
          .min(0)
          .max(MEMBER_BUCKETS - 1),
      )
      .max(MEMBER_BUCKETS),
  }),
  crash: z.strictObject({
    t: z.literal('crash'),
    reports: z.array(crashReportSchema).max(1_000),
  }),
} as const;

/** Name of a message on an established link. */
export type MessageName = keyof typeof MESSAGES;

/** Message of one kind. */
export type MessageOf<N extends MessageName> = z.infer<(typeof MESSAGES)[N]>;

/** Any message on an established link. */
export type PeerMessage = {[N in MessageName]: MessageOf<N>}[MessageName];

/** Schema of the first frame in each direction. */
export const helloSchema = z.strictObject({
  t: z.literal('hello'),
  proto: z.literal(1),
  record: memberSchema,
  nonce: z.string().regex(/^[0-9a-f]{32}$/),
});

/** First frame in each direction. */
export type Hello = z.infer<typeof helloSchema>;

/** Schema of the second frame: HMAC-SHA256 under the shared key, hex. */
export const authSchema = z.strictObject({
  t: z.literal('auth'),
  mac: z.string().regex(/^[0-9a-f]{64}$/),
});

/** Checks a decoded frame; returns the message or the reason it is refused. */
export function parseMessage(
  raw: unknown,
): {ok: true; msg: PeerMessage} | {ok: false; reason: string} {
  const name = (raw as {t?: unknown} | null)?.t;
  if (typeof name !== 'string' || !Object.hasOwn(MESSAGES, name)) {
    return {ok: false, reason: 'unknown message'};
  }
  const result = MESSAGES[name as MessageName].safeParse(raw);
  if (!result.success) {
    const issue = result.error.issues[0];
    return {
      ok: false,
      reason: `${name}: ${issue.path.join('.')}: ${issue.message}`,
    };
  }
  return {ok: true, msg: result.data as PeerMessage};
}
