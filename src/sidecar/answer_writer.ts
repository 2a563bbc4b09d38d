import type {ServerResponse} from 'node:http';
import {
  type AnswerBudget,
  type WaitingAnswer,
  addWaiting,
  removeWaiting,
} from './answer_budget.js';
import type {HttpAnswer} from './http_client.js';

/** Size of the pieces in which a large answer is written, bytes; the progress of
 * a slow reader shows after each. */
const PIECE_BYTES = 32_768;

/** Writes the body of an answer in one or more pieces; the last ends it. */
export interface AnswerWriter {
  /** Writes a piece; returns false when the receiver takes no more for now. */
  write(piece: Buffer, onTaken?: () => void): boolean;
  /** Writes the last piece. */
  end(piece: Buffer): void;
}

/**
 * Registers an answer whose head was written, and releases its bytes when the
 * response is closed. `deadlineAt` is the monotonic time after which nobody
 * waits for it, ms.
 */
export function openAnswer(
  budget: AnswerBudget,
  {body, release}: HttpAnswer,
  res: ServerResponse,
  deadlineAt: number,
): AnswerWriter {
  const {now} = budget;
  const waiting: WaitingAnswer = {
    size: body.length,
    deadlineAt,
    openWrites: 0,
    progressAt: 0,
    // A reset also frees what the kernel holds of it.
    drop: () => {
      res.req.socket.resetAndDestroy();
      close();
    },
  };
  const close = (): void => {
    removeWaiting(budget, waiting);
    release();
  };
  addWaiting(budget, waiting);
  res.once('close', close);
  // Node doesn't close a response that still waits for its connection.
  if (!res.socket) res.req.socket.once('close', close);
  const begin = (): void => {
    if (waiting.openWrites === 0) waiting.progressAt = now();
    waiting.openWrites++;
  };
  return {
    write(piece, onTaken) {
      begin();
      return res.write(piece, err => {
        waiting.openWrites--;
        waiting.progressAt = now();
        if (!err && !res.destroyed) onTaken?.();
      });
    },
    end(piece) {
      begin();
      res.end(piece);
    },
  };
}

/** Writes the body of an answer to a customer, and ends the response. */
export function writeAnswer(
  budget: AnswerBudget,
  answer: HttpAnswer,
  res: ServerResponse,
  deadlineAt: number,
): void {
  const {body} = answer;
  const writer = openAnswer(budget, answer, res, deadlineAt);
  const writeFrom = (offset: number): void => {
    const end = offset + PIECE_BYTES;
    if (end >= body.length) writer.end(body.subarray(offset));
    else writer.write(body.subarray(offset, end), () => writeFrom(end));
  };
  writeFrom(0);
}
