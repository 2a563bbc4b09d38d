import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import {
  HEADERS,
  OUTCOMES,
  parseReason,
  parseVerdict,
  type Outcome,
  type ReportedLoad,
} from '../internal.js';
import type {Forwarder, ForwardRequest, OwnerAddress} from './forward.js';
import {isDroppedFromResponse} from './customer_request.js';

/** How one attempt ended. */
export type AttemptResult =
  | {kind: 'answered'}
  /** The response was cut off and the customer's connection closed. */
  | {kind: 'cut'}
  | {kind: 'cancelled'}
  | {
      kind: 'failed';
      outcome: Outcome;
      /** True when the owner itself reported the outcome. */
      fromOwner: boolean;
      /** `Retry-After` of the owner, s. */
      retryAfter?: string;
    };

/** An attempt in progress. */
export interface Attempt {
  readonly result: Promise<AttemptResult>;
  /** Ends the attempt because the customer has disconnected. */
  cancel(): void;
  /** Ends the attempt because its deadline has passed. */
  expire(): void;
  resume(): void;
}

/** Options of one attempt. */
export interface AttemptOptions {
  readonly forwarder: Forwarder;
  readonly to: OwnerAddress;
  readonly request: ForwardRequest;
  readonly requestId: string;
  readonly res: ServerResponse;
  readonly now: number;
  /** Called on the response headers of the owner, before the body. */
  onReply(load: ReportedLoad | undefined): void;
  /** Called before the head of an answer is written. */
  onAnswer(): void;
}

/** Sends a request to an owner once; streams the response to the customer. */
export function startAttempt(options: AttemptOptions): Attempt {
  const {res, requestId} = options;
  let settle!: (result: AttemptResult) => void;
  const result = new Promise<AttemptResult>(resolve => (settle = resolve));
  let responding = false;
  let refusal: AttemptResult | undefined;

  const events = {
    head(status: number, headers: IncomingHttpHeaders): boolean {
      if (headers[HEADERS.id] !== requestId) {
        settle(createFailure('crossedAnswer'));
        return false;
      }
      options.onReply(parseLoad(readSingleHeader(headers, HEADERS.load)));
      refusal = readRefusal(headers);
      if (refusal) return true;
      responding = true;
      options.onAnswer();
      res.writeHead(status, copyResponseHeaders(headers));
      return true;
    },
    data: (chunk: Buffer) => (responding ? res.write(chunk) : true),
    end(): void {
      if (responding) res.end();
      settle(refusal ?? {kind: 'answered'});
    },
    fail(err: Error, written: boolean): void {
      if (responding) {
        // A truncated response must not look complete.
        res.destroy();
        settle({kind: 'cut'});
        return;
      }
      settle(refusal ?? createFailure(classifyFailure(err, written)));
    },
  };
  const call = options.forwarder.send(
    options.to,
    options.request,
    events,
    options.now,
  );

  return {
    result,
    cancel(): void {
      call.abort();
      settle({kind: 'cancelled'});
    },
    expire(): void {
      call.abort();
      if (responding) {
        res.destroy();
        settle({kind: 'cut'});
        return;
      }
      const outcome = call.written ? 'deadlineAfterSend' : 'deadlineBeforeSend';
      settle(refusal ?? createFailure(outcome));
    },
    resume: () => call.resume(),
  };
}

function createFailure(outcome: Outcome): AttemptResult {
  return {kind: 'failed', outcome, fromOwner: false};
}

function classifyFailure(err: Error, written: boolean): Outcome {
  if (written) return 'connectionBroken';
  const {code} = err as {code?: string};
  return code === 'UND_ERR_INVALID_ARG' ? 'badRequest' : 'connectFailed';
}

function readSingleHeader(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : undefined;
}

/** Parses a refusal of the owner; undefined when the upstream responded. */
function readRefusal(headers: IncomingHttpHeaders): AttemptResult | undefined {
  const verdict = parseVerdict(readSingleHeader(headers, HEADERS.verdict));
  if (verdict === 'ran') return undefined;
  const reason = parseReason(readSingleHeader(headers, HEADERS.reason) ?? '');
  const retryAfter = readSingleHeader(headers, 'retry-after');
  let outcome: Outcome = verdict === 'notRun' ? 'full' : 'connectionBroken';
  // A reason that contradicts the verdict is ignored.
  if (reason && OUTCOMES[reason].verdict === verdict) outcome = reason;
  return {kind: 'failed', outcome, fromOwner: true, retryAfter};
}

/** Response headers used only between daemons. */
const INTERNAL_HEADERS = new Set<string>([
  HEADERS.load,
  HEADERS.boot,
  HEADERS.hlc,
]);

function copyResponseHeaders(
  headers: IncomingHttpHeaders,
): IncomingHttpHeaders {
  const copy: IncomingHttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (INTERNAL_HEADERS.has(name) || isDroppedFromResponse(name)) continue;
    copy[name] = value;
  }
  return copy;
}

/** Parses a `berylbend-load` header; undefined when absent or malformed. */
export function parseLoad(text: string | undefined): ReportedLoad | undefined {
  const match = /^(\d{1,6}),(\d{1,6}),(\d{1,6}),(0|1|true|false)$/.exec(
    text ?? '',
  );
  if (!match) return undefined;
  const [, limit, inFlight, queued, cold] = match;
  return {
    limit: Number(limit),
    inFlight: Number(inFlight),
    queued: Number(queued),
    cold: cold === '1' || cold === 'true',
  };
}
