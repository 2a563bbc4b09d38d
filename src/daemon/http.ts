import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  formatReason,
  HEADERS,
  OUTCOMES,
  VERDICT_HEADER_VALUES,
  type Outcome,
} from '../internal.js';

/** Largest request body that a daemon buffers, bytes. */
export const MAX_BODY_BYTES = 1_048_576;

/** Sends the refusal of an outcome as a short JSON response. */
export function sendRefusal(
  res: ServerResponse,
  outcome: Outcome,
  requestId: string,
  extraHeaders: Record<string, string> = {},
): void {
  if (res.headersSent) {
    // The status was already sent; only closing the connection shows failure.
    res.destroy();
    return;
  }
  const rule = OUTCOMES[outcome];
  const verdict = VERDICT_HEADER_VALUES[rule.verdict];
  const reason = formatReason(outcome);
  const body = JSON.stringify({error: reason, verdict, id: requestId});
  res.writeHead(rule.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [HEADERS.id]: requestId,
    [HEADERS.verdict]: verdict,
    [HEADERS.reason]: reason,
    ...(rule.retryAfterS > 0 && {'retry-after': String(rule.retryAfterS)}),
    ...extraHeaders,
  });
  res.end(body);
}

/** Reads a complete request body; undefined when it exceeds the limit. */
export async function readBody(
  req: IncomingMessage,
  limitBytes: number = MAX_BODY_BYTES,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > limitBytes) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Returns the value of a header; undefined when absent or repeated. */
export function readHeader(
  req: IncomingMessage,
  name: string,
): string | undefined {
  const value = req.headers[name];
  return typeof value === 'string' ? value : undefined;
}
