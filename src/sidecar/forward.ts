import type {LoadReport, Outcome} from '../internal.js';
import type {HttpAnswer} from './http_client.js';

/** A request that the entry forwards to the owner of an upstream. */
export interface ForwardRequest {
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  /** End-to-end headers, alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /** The only upstream that may run the request. */
  readonly upstreamId: string;
  readonly route: string;
  readonly rank: number;
  /** Organisation of the customer; undefined for requests without one. */
  readonly organisation?: string;
  /** Time until an answer loses value, ms; may be negative. */
  readonly goalMs: number;
  /** Time until the deadline, after which an answer is useless, ms. */
  readonly remainingMs: number;
  readonly fingerprint: string;
  /** Expected work, ms at speed 1; undefined while nothing is known. */
  readonly costMs?: number;
  /** Limit that the upstream has stated to the entry, requests per second. */
  readonly statedPerS?: number;
}

/**
 * Result of one attempt. `refused`: it has not run and never will;
 * `reachedUpstream` when the upstream itself refused it. `broken`: it may have
 * run. `unsent`: the owner could not be reached. `aborted`: ended by `abort`.
 */
export type ForwardReply = {
  readonly report?: LoadReport;
  /** Time from the request's arrival at the owner to this result, ms. */
  readonly heldMs?: number;
} & (
  | {readonly kind: 'answer'; readonly answer: HttpAnswer}
  | {
      readonly kind: 'refused';
      readonly outcome: Outcome;
      readonly reachedUpstream: boolean;
      readonly retryAfterMs: number;
    }
  | {readonly kind: 'broken'; readonly outcome: Outcome; readonly code: string}
  | {readonly kind: 'unsent'; readonly code: string}
  | {readonly kind: 'aborted'; readonly written: boolean}
);

/** An attempt in progress. */
export interface ForwardCall {
  readonly result: Promise<ForwardReply>;
  /** Ends the attempt; a queued request will not run. */
  abort(): void;
}
