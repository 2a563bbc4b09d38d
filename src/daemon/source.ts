import {Agent, request} from 'undici';
import * as z from 'zod';
import {
  BerylbendError,
  memberSchema,
  setReplyTimeout,
  type Entry,
  type ErrorCode,
  type MemberRecord,
} from '../internal.js';

/** Time beyond the long poll after which a read counts as failed, ms. */
export const READ_GRACE_MS = 2_000;

/** Largest reply accepted from the platform, bytes. */
export const MAX_REPLY_BYTES = 64 * 1_048_576;

const replySchema = z.object({
  index: z.int().min(0),
  // The reader checks each entry: a malformed one must not fail every read.
  entries: z.array(z.unknown()),
});

const listSchema = z.object({instances: z.array(memberSchema)});

/** Reply of the configuration service. */
export interface SourceReply {
  /** Index of the newest entry of the service. */
  index: number;
  /** Entries after the requested index, in order; the reader checks each. */
  entries: Entry[];
}

const agent = new Agent({
  connections: 2,
  pipelining: 1,
  maxResponseSize: MAX_REPLY_BYTES,
});

/** Long-polls the configuration service; throws `sourceFailed`. */
export async function readSource(
  url: string,
  after: number,
  waitMs: number,
  signal: AbortSignal,
): Promise<SourceReply> {
  const target = `${url}/v1/entries?after=${after}&waitMs=${waitMs}`;
  const timeoutMs = waitMs + READ_GRACE_MS;
  const body = await readJson(target, timeoutMs, signal, 'sourceFailed');
  return parseReply(replySchema, body, 'sourceFailed') as SourceReply;
}

/** Reads the instance list; throws `listFailed`. */
export async function readList(
  url: string,
  signal: AbortSignal,
): Promise<MemberRecord[]> {
  const target = `${url}/v1/instances`;
  const body = await readJson(target, READ_GRACE_MS, signal, 'listFailed');
  return parseReply(listSchema, body, 'listFailed').instances;
}

async function readJson(
  url: string,
  timeoutMs: number,
  stop: AbortSignal,
  code: ErrorCode,
): Promise<unknown> {
  const timeout = new AbortController();
  const cancelTimeout = setReplyTimeout(() => timeout.abort(), timeoutMs);
  const signal = AbortSignal.any([stop, timeout.signal]);
  try {
    const res = await request(url, {dispatcher: agent, signal});
    if (res.statusCode !== 200) {
      await res.body.dump();
      throw new Error(`status ${res.statusCode}`);
    }
    return await res.body.json();
  } catch (err) {
    throw new BerylbendError(code, [], err as Error);
  } finally {
    cancelTimeout();
  }
}

function parseReply<T>(
  schema: z.ZodType<T>,
  body: unknown,
  code: ErrorCode,
): T {
  const parsed = schema.safeParse(body);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  throw new BerylbendError(code, [`${issue.path.join('.')}: ${issue.message}`]);
}
