import type {IncomingMessage} from 'node:http';
import {
  CONNECTION_HEADERS,
  HEADERS,
  MAX_DEPTH,
  computeTimeout,
  getApiKeys,
  matchRoute,
  normalizePath,
  parseBudget,
  parseDepth,
  type MatchedRoute,
  type Outcome,
  type Version,
} from '../internal.js';
import {MAX_BODY_BYTES, readHeader} from './http.js';

/**
 * Largest request line and headers, bytes. The owner's HTTP server accepts
 * 16 KB; the rest is for the headers that the entry adds.
 */
export const MAX_REQUEST_HEAD_BYTES = 12_288;

/** Limit of all request bodies buffered by an entry, bytes. */
export const MAX_BUFFERED_BYTES = 33_554_432;

/** A validated customer request, before its body is read. */
export interface CustomerRequest {
  readonly method: string;
  /** Path and query as received. */
  readonly target: string;
  /** Version in force when the request started; used until it ends. */
  readonly version: Version;
  readonly matched: MatchedRoute;
  readonly timeoutMs: number;
  readonly depth: number;
  readonly budget: number;
  /** Text of the `idempotency-key` header, bound or not. */
  readonly key: string | undefined;
  /** Header names and values to pass on. */
  readonly headers: string[];
}

/** Validates a request head; returns the outcome of its refusal if invalid. */
export function checkHead(
  req: IncomingMessage,
  version: Version,
): CustomerRequest | Outcome {
  const method = req.method ?? '';
  const target = req.url ?? '';
  if (measureHead(req) > MAX_REQUEST_HEAD_BYTES) return 'tooLarge';
  const path = normalizePath(target.split('?', 1)[0]);
  if (path === undefined || /[^\x21-\x7e]/.test(target)) return 'badRequest';
  const depth = parseDepth(readHeader(req, HEADERS.depth));
  const budget = parseBudget(readHeader(req, HEADERS.budget));
  if (depth === undefined || budget === undefined) return 'badRequest';
  if (depth > MAX_DEPTH) return 'tooDeep';
  const matched = matchRoute(version.document, method, path);
  if (!matched) return 'unknownRoute';
  const deadline = readHeader(req, HEADERS.deadlineMs);
  const timeoutMs = computeTimeout(matched.route.timeoutMs, deadline);
  if (timeoutMs === undefined) return 'badRequest';
  const key = readHeader(req, HEADERS.key);
  // Repeated headers arrive joined by a comma, which no key contains.
  if (key !== undefined && !/^[\w.~:+/=-]{1,512}$/.test(key)) return 'badKey';
  if (Number(req.headers['content-length'] ?? 0) > MAX_BODY_BYTES) {
    return 'tooLarge';
  }
  const dropsKey = getApiKeys(version.document) !== undefined;
  const headers = copyHeaders(req, dropsKey);
  return {
    method,
    target,
    version,
    matched,
    timeoutMs,
    depth,
    budget,
    key,
    headers,
  };
}

function measureHead(req: IncomingMessage): number {
  let size = req.url?.length ?? 0;
  for (const text of req.rawHeaders) size += text.length + 2;
  return size;
}

/** Headers that describe one connection or that the forwarder sets. */
const NOT_FORWARDED = new Set([
  ...CONNECTION_HEADERS,
  'content-length',
  'idempotency-key',
]);

function copyHeaders(req: IncomingMessage, dropsKey: boolean): string[] {
  const connectionOptions = (req.headers.connection ?? '')
    .split(',')
    .map(name => name.trim().toLowerCase());
  const headers: string[] = [];
  for (let i = 0; i < req.rawHeaders.length; i += 2) {
    const name = req.rawHeaders[i].toLowerCase();
    if (NOT_FORWARDED.has(name) || name.startsWith('berylbend-')) continue;
    if (connectionOptions.includes(name)) continue;
    if (dropsKey && name === 'authorization') continue;
    headers.push(name, req.rawHeaders[i + 1]);
  }
  return headers;
}

/** True for connection headers and the key, which responses do not pass on. */
export function isDroppedFromResponse(name: string): boolean {
  return NOT_FORWARDED.has(name) && name !== 'content-length';
}

/** Total of request bodies buffered by an entry, bytes. */
export interface BodyBudget {
  bytes: number;
}

/**
 * Buffers a request body. Returns `tooLarge` above its limit, `full` when the
 * entry buffers too much in total, and `gone` when the customer disconnected.
 * The caller returns the bytes of a buffered body to the budget.
 */
export function bufferBody(
  req: IncomingMessage,
  budget: BodyBudget,
): Promise<Buffer | 'tooLarge' | 'full' | 'gone'> {
  const {headers} = req;
  if (!headers['content-length'] && !headers['transfer-encoding']) {
    return Promise.resolve(Buffer.alloc(0));
  }
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    const settle = (result: Buffer | 'tooLarge' | 'full' | 'gone') => {
      req.off('data', onData).off('end', onEnd).off('close', onClose);
      if (typeof result === 'string') {
        budget.bytes -= size;
        req.resume();
      }
      resolve(result);
    };
    const onData = (chunk: Buffer) => {
      size += chunk.length;
      budget.bytes += chunk.length;
      chunks.push(chunk);
      if (size > MAX_BODY_BYTES) settle('tooLarge');
      else if (budget.bytes > MAX_BUFFERED_BYTES) settle('full');
    };
    const onEnd = () => settle(Buffer.concat(chunks));
    const onClose = () => settle('gone');
    req.on('data', onData).on('end', onEnd).on('close', onClose);
    req.on('error', () => {});
  });
}
