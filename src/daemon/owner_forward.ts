import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import {
  CONNECTION_HEADERS,
  FORWARD_PREFIX,
  HEADERS,
  parseKey,
  PRIORITIES,
  verify,
  type BoundKey,
  type Outcome,
  type Priority,
} from '../internal.js';
import {readHeader} from './http.js';
import type {AnswerHeaders} from './upstream.js';

/** Largest depth of a chain of calls, in hops. */
export const MAX_CALL_DEPTH = 6;

const MAX_DEADLINE_MS = 3_600_000;
const MAX_RETRY_BUDGET = 16;
const ID_PATTERN = /^[\w.:~-]{1,128}$/;
const FINGERPRINT_PATTERN = /^[0-9a-f]{16,64}$/;

const HOP_BY_HOP_HEADERS = new Set([...CONNECTION_HEADERS, 'host']);

/** Validated metadata of a forwarded request. */
export interface ForwardedRequest {
  readonly id: string;
  /** Path and query for the upstream. */
  readonly path: string;
  readonly method: string;
  readonly route: string;
  readonly priority: Priority;
  /** Remaining time at arrival, ms. */
  readonly deadlineMs: number;
  readonly depth: number;
  readonly budget: number;
  /** Configuration version of the entry; 0 when absent. */
  readonly version: number;
  readonly fingerprint: string;
  readonly key?: BoundKey;
  /** Organisation of the customer; undefined for requests without one. */
  readonly organisation?: string;
}

/** Result of `parseForward`. */
export type ParsedForward =
  | {ok: true; forward: ForwardedRequest}
  | {ok: false; id: string; outcome: Outcome};

/** Authenticates and parses the headers of a forwarded request. */
export function parseForward(
  req: IncomingMessage,
  peerKey: string,
): ParsedForward {
  const id = readHeader(req, HEADERS.id) ?? '';
  if (!ID_PATTERN.test(id)) return refuse('unknown', 'badRequest');
  if (!isAuthentic(req, peerKey, id)) return refuse(id, 'badRequest');
  const numbers = readNumericHeaders(req);
  const path = readPath(req.url ?? '');
  const priority = readPriority(req);
  const fingerprint = readHeader(req, HEADERS.fingerprint) ?? '';
  const isValid = numbers && path !== undefined && priority !== undefined;
  if (!isValid || !FINGERPRINT_PATTERN.test(fingerprint)) {
    return refuse(id, 'badRequest');
  }
  if (numbers.depth > MAX_CALL_DEPTH) return refuse(id, 'tooDeep');
  if (numbers.deadlineMs <= 0) return refuse(id, 'deadlineBeforeSend');
  const keyText = readHeader(req, HEADERS.key);
  const key = keyText === undefined ? undefined : parseKey(peerKey, keyText);
  if (keyText !== undefined && !key) return refuse(id, 'badKey');
  const method = req.method ?? 'GET';
  const route = readHeader(req, HEADERS.route) ?? '';
  const organisation = readHeader(req, HEADERS.organisation);
  const rest = {path, method, route, priority, fingerprint, organisation};
  return {ok: true, forward: {id, ...rest, ...numbers, ...(key && {key})}};
}

/** Builds the headers for the upstream, with the limits of the call chain. */
export function buildUpstreamHeaders(
  headers: IncomingHttpHeaders,
  forward: ForwardedRequest,
  remainingMs: number,
): Record<string, string | string[]> {
  const kept = pickEndToEndHeaders(headers);
  // The HTTP client sets the length of the body that it sends.
  delete kept['content-length'];
  return {
    ...kept,
    [HEADERS.id]: forward.id,
    [HEADERS.deadlineMs]: String(Math.max(1, Math.floor(remainingMs))),
    [HEADERS.depth]: String(forward.depth + 1),
    [HEADERS.budget]: String(forward.budget),
    ...(forward.organisation !== undefined && {
      [HEADERS.organisation]: forward.organisation,
    }),
  };
}

/** Omits hop-by-hop headers and those used between daemons. */
export function pickEndToEndHeaders(
  headers: AnswerHeaders,
): Record<string, string | string[]> {
  const connectionOptions = String(headers.connection ?? '')
    .toLowerCase()
    .split(',')
    .map(name => name.trim());
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    const dropped =
      HOP_BY_HOP_HEADERS.has(name) ||
      connectionOptions.includes(name) ||
      name.startsWith('berylbend-');
    if (!dropped && value !== undefined) kept[name] = value;
  }
  return kept;
}

function refuse(id: string, outcome: Outcome): ParsedForward {
  return {ok: false, id, outcome};
}

function isAuthentic(
  req: IncomingMessage,
  peerKey: string,
  id: string,
): boolean {
  const read = (name: string) => readHeader(req, name) ?? '';
  const organisation = readHeader(req, HEADERS.organisation);
  return verify(
    peerKey,
    readHeader(req, HEADERS.auth),
    id,
    read(HEADERS.route),
    read(HEADERS.fingerprint),
    read(HEADERS.key),
    read(HEADERS.deadlineMs),
    ...(organisation === undefined ? [] : [organisation]),
  );
}

function readNumericHeaders(
  req: IncomingMessage,
):
  | Pick<ForwardedRequest, 'deadlineMs' | 'depth' | 'budget' | 'version'>
  | undefined {
  const deadlineMs = readNumericHeader(
    req,
    HEADERS.deadlineMs,
    MAX_DEADLINE_MS,
  );
  const depth = readNumericHeader(req, HEADERS.depth, 1_000, 0);
  const budget = readNumericHeader(req, HEADERS.budget, MAX_RETRY_BUDGET, 0);
  const version = readNumericHeader(
    req,
    HEADERS.version,
    Number.MAX_SAFE_INTEGER,
    0,
  );
  if (deadlineMs === undefined || depth === undefined) return undefined;
  if (budget === undefined || version === undefined) return undefined;
  return {deadlineMs, depth, budget, version};
}

/** Undefined when malformed or too large, or absent without a default. */
function readNumericHeader(
  req: IncomingMessage,
  name: string,
  max: number,
  defaultValue?: number,
): number | undefined {
  if (req.headers[name] === undefined) return defaultValue;
  const text = readHeader(req, name) ?? '';
  if (!/^\d{1,16}(\.\d{1,6})?$/.test(text)) return undefined;
  const value = Number(text);
  return value <= max ? value : undefined;
}

function readPriority(req: IncomingMessage): Priority | undefined {
  if (req.headers[HEADERS.priority] === undefined) return 'read';
  const text = readHeader(req, HEADERS.priority);
  return PRIORITIES.find(priority => priority === text);
}

function readPath(url: string): string | undefined {
  if (!url.startsWith(FORWARD_PREFIX)) return undefined;
  const path = url.slice(FORWARD_PREFIX.length);
  return path.startsWith('/') ? path : undefined;
}
