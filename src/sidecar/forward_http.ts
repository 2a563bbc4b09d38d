import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  formatReason,
  HEADERS,
  OUTCOMES,
  parseReason,
  VERDICT_HEADER_VALUES,
  type ListedUpstream,
  type Outcome,
} from '../internal.js';
import {parseLimit} from './announcements.js';
import type {ForwardCall, ForwardReply, ForwardRequest} from './forward.js';
import {formatLoadHeaders, readLoadHeaders} from './load_headers.js';
import {copyAnswerHeaders, copyRawHeaders, readHeader} from './header_copy.js';
import type {HttpAnswer, HttpClient, HttpResult} from './http_client.js';

/** Verdict header value of a request that the upstream itself refused. */
const REFUSED_BY_UPSTREAM = 'turned-away';

/** Packs the forwarding metadata into one short header, since it crosses data
 * centres. */
function formatTerms(request: ForwardRequest): string {
  const {upstreamId, route, rank, goalMs, remainingMs, fingerprint} = request;
  const {organisation} = request;
  const numbers = [rank, Math.round(goalMs), Math.round(remainingMs)];
  const terms = [upstreamId, route, ...numbers, fingerprint];
  if (organisation !== undefined) terms.push(organisation);
  return terms.map(item => encodeURIComponent(item)).join(',');
}

/**
 * Reads the head of a forwarded request; undefined when its metadata is malformed. `lagMs`
 * is the time that it may have waited unread.
 */
export function readForward(
  req: IncomingMessage,
  requestIdHeader: string,
  lagMs: number,
): ForwardRequest | undefined {
  const terms = readHeader(req.headers, HEADERS.terms)?.split(',');
  if (!terms || terms.length < 6 || terms.length > 7) return undefined;
  let values: string[];
  try {
    values = terms.map(decodeURIComponent);
  } catch {
    return undefined;
  }
  const [upstreamId, route, rank, goalMs, remainingMs, fingerprint] = values;
  const organisation = values.at(6);
  const numbers = [rank, goalMs, remainingMs].map(Number);
  if (upstreamId === '' || !numbers.every(Number.isFinite)) return undefined;
  return {
    requestId: readHeader(req.headers, requestIdHeader) ?? '',
    method: req.method ?? 'GET',
    target: req.url ?? '/',
    headers: copyRawHeaders(req.rawHeaders, req.headers.connection, []),
    body: undefined,
    upstreamId,
    route,
    rank: numbers[0],
    organisation,
    goalMs: numbers[1] - lagMs,
    remainingMs: numbers[2] - lagMs,
    fingerprint,
    statedPerS: parseLimit(readHeader(req.headers, HEADERS.limit)),
    costMs: parseCost(readHeader(req.headers, HEADERS.cost)),
  };
}

/** Parses an expected work, ms; undefined when absent or malformed. */
function parseCost(text: string | undefined): number | undefined {
  return /^\d{1,8}\.\d$/.test(text ?? '') ? Number(text) : undefined;
}

/** Sends the result of an attempt to the entry; `endBody` writes the body of an
 * answer and ends the reply. */
export function writeReply(
  res: ServerResponse,
  reply: ForwardReply,
  isHead: boolean,
  endBody: (answer: HttpAnswer) => void,
): void {
  const load: Record<string, string> = reply.report
    ? {
        ...formatLoadHeaders(reply.report),
        [HEADERS.heldMs]: String(Math.round(reply.heldMs ?? 0)),
      }
    : {};
  switch (reply.kind) {
    case 'answer': {
      const {status, headers, body} = reply.answer;
      const copy = copyAnswerHeaders(headers);
      if (isHead) {
        // The length is that of the answer to GET, if the upstream stated it.
        const length = headers['content-length'];
        if (length !== undefined) copy['content-length'] = length;
      } else if (status !== 204 && status !== 304) {
        copy['content-length'] = String(body.length);
      }
      res.writeHead(status, {...copy, ...load});
      endBody(reply.answer);
      return;
    }
    case 'refused':
      res.writeHead(503, {
        ...load,
        [HEADERS.verdict]: reply.reachedUpstream
          ? REFUSED_BY_UPSTREAM
          : VERDICT_HEADER_VALUES.notRun,
        [HEADERS.reason]: formatReason(reply.outcome),
        [HEADERS.retryMs]: String(Math.ceil(reply.retryAfterMs)),
        'content-length': 0,
      });
      res.end();
      return;
    case 'broken':
      res.writeHead(502, {
        ...load,
        [HEADERS.verdict]: VERDICT_HEADER_VALUES.mayHaveRun,
        [HEADERS.reason]: formatReason(reply.outcome),
        'content-length': 0,
      });
      res.end();
      return;
    default:
      // The entry disconnected, or it is unknown whether the request ran: a
      // closed connection makes no claim.
      res.destroy();
  }
}

/** Sends a request to the owner of an upstream on another instance. */
export function sendForward(
  client: HttpClient,
  upstream: ListedUpstream,
  peerPort: number,
  request: ForwardRequest,
  now: number,
): ForwardCall {
  const {method, target, body, route, statedPerS, costMs} = request;
  const headers = [...request.headers, HEADERS.terms, formatTerms(request)];
  if (statedPerS !== undefined) headers.push(HEADERS.limit, String(statedPerS));
  if (costMs !== undefined) headers.push(HEADERS.cost, costMs.toFixed(1));
  const call = client.send(
    `http://${upstream.host}:${peerPort}`,
    {method, path: target, headers, body, route},
    now,
  );
  return {result: call.result.then(readReply), abort: () => call.abort()};
}

function readReply(result: HttpResult): ForwardReply {
  if (result.kind === 'broken') {
    return {kind: 'broken', outcome: 'connectionBroken', code: result.code};
  }
  if (result.kind !== 'answer') return result;
  const {answer} = result;
  const {headers} = answer;
  const report = readLoadHeaders(headers);
  const heldMs = Number(readHeader(headers, HEADERS.heldMs)) || 0;
  const verdict = readHeader(headers, HEADERS.verdict);
  if (verdict === undefined) {
    // Owners report their load in every reply; others are not from an owner.
    if (report) return {kind: 'answer', answer, report, heldMs};
    answer.release();
    return {kind: 'broken', outcome: 'crossedAnswer', code: 'NO_REPORT'};
  }
  answer.release();
  const reason = parseReason(readHeader(headers, HEADERS.reason) ?? '');
  if (
    verdict === VERDICT_HEADER_VALUES.notRun ||
    verdict === REFUSED_BY_UPSTREAM
  ) {
    return {
      kind: 'refused',
      outcome: selectOutcome(reason, 'notRun', 'full'),
      reachedUpstream: verdict === REFUSED_BY_UPSTREAM,
      retryAfterMs: Number(readHeader(headers, HEADERS.retryMs)) || 0,
      report,
      heldMs,
    };
  }
  const outcome = selectOutcome(reason, 'mayHaveRun', 'connectionBroken');
  return {kind: 'broken', outcome, code: 'OWNER', report, heldMs};
}

/** Returns the reason, or the fallback when it contradicts the verdict. */
function selectOutcome(
  reason: Outcome | undefined,
  verdict: 'notRun' | 'mayHaveRun',
  fallback: Outcome,
): Outcome {
  return reason && OUTCOMES[reason].verdict === verdict ? reason : fallback;
}
