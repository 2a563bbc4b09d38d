import type {ServerResponse} from 'node:http';
import {type PacedMessage, chargeLink, sendPaced} from '../internal.js';
import {type AnswerWriter, openAnswer} from './answer_writer.js';
import type {SidecarBoard} from './board.js';
import type {HttpAnswer} from './http_client.js';

/** Writes the body of a reply whose head is written, and ends the reply;
 * `deadlineAt` is the monotonic time after which nobody waits for it, ms. */
export type ReplyWriter = (
  res: ServerResponse,
  answer: HttpAnswer,
  rank: number,
  deadlineAt: number,
) => void;

/** Creates the writer of replies to other daemons; it paces large ones. */
export function createReplyWriter(board: SidecarBoard): ReplyWriter {
  const {answers, pacer, now} = board;
  let timer: NodeJS.Timeout | undefined;
  const run = (): void => {
    const waitMs = sendPaced(pacer, now());
    if (waitMs === undefined || timer) return;
    timer = setTimeout(
      () => {
        timer = undefined;
        run();
      },
      Math.max(1, Math.ceil(waitMs)),
    );
  };
  return (res, answer, rank, deadlineAt) => {
    const {body} = answer;
    const writer = openAnswer(answers, answer, res, deadlineAt);
    if (body.length <= pacer.chunkBytes) {
      chargeLink(pacer, body.length, now());
      writer.end(body);
      return;
    }
    const message = createMessage(res, writer, body, rank, run);
    pacer.messages.add(message);
    res.once('close', () => pacer.messages.delete(message));
    run();
  };
}

function createMessage(
  res: ServerResponse,
  writer: AnswerWriter,
  body: Buffer,
  rank: number,
  run: () => void,
): PacedMessage {
  let offset = 0;
  const message: PacedMessage = {
    rank,
    remainingBytes: body.length,
    blocked: false,
    send(bytes) {
      const piece = body.subarray(offset, offset + bytes);
      offset += bytes;
      if (offset === body.length) {
        writer.end(piece);
        return;
      }
      message.blocked = !writer.write(piece);
      if (!message.blocked) return;
      res.once('drain', () => {
        message.blocked = false;
        run();
      });
    },
  };
  return message;
}
