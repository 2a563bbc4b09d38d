import {
  STATUS_CODES,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {Duplex} from 'node:stream';
import {
  formatReason,
  HEADERS,
  OUTCOMES,
  VERDICT_HEADER_VALUES,
  type Outcome,
} from '../internal.js';
import {HEADERS_OVERDUE} from './customer_server.js';

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

const CLIENT_ERRORS: Record<string, {outcome: Outcome; status: number}> = {
  HPE_HEADER_OVERFLOW: {outcome: 'tooLarge', status: 431},
  [HEADERS_OVERDUE]: {outcome: 'badRequest', status: 408},
};

/** Answers malformed or overdue HTTP and ends the writing side. */
export function answerClientError(err: Error, socket: Duplex): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const {code = ''} = err as NodeJS.ErrnoException;
  const rule = CLIENT_ERRORS[code];
  const outcome = rule?.outcome ?? 'badRequest';
  const status = rule?.status ?? OUTCOMES[outcome].status;
  const verdict = VERDICT_HEADER_VALUES[OUTCOMES[outcome].verdict];
  const reason = formatReason(outcome);
  const body = JSON.stringify({error: reason, verdict});
  socket.end(
    [
      `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
      'content-type: application/json',
      `content-length: ${body.length}`,
      `${HEADERS.verdict}: ${verdict}`,
      `${HEADERS.reason}: ${reason}`,
      'connection: close',
      '',
      body,
    ].join('\r\n'),
  );
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
