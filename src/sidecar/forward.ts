import type {LoadReport, Outcome} from '../internal.js';
import type {HttpAnswer} from './http_client.js';

/** A request on its way from the entry to the daemon beside an upstream. */
export interface ForwardRequest {
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  /** End-to-end headers, names and values in turn. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /** The only upstream that may run the request. */
  readonly upstreamId: string;
  readonly route: string;
  readonly rank: number;
  /** Time until the value of an answer falls, ms; may be negative. */
  readonly goalMs: number;
  /** Time until an answer is of no use, ms. */
  readonly remainingMs: number;
  readonly fingerprint: string;
}

/**
 * End of one attempt. `refused`: not run and never will be, `arrived` when the
 * upstream itself has turned it away; `broken`: it may have run; `unsent`: the
 * daemon could not be reached.
 */
export type ForwardReply = {readonly report?: LoadReport} & (
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
  /** Ends the attempt; a request that waits will not run. */
  abort(): void;
}
