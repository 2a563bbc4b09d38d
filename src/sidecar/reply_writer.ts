import type {ServerResponse} from 'node:http';
import {type PacedMessage, chargeLink, sendPaced} from '../internal.js';
import type {SidecarBoard} from './board.js';

/** Writes the body of a reply whose head is written, and ends the reply. */
export type ReplyWriter = (
  res: ServerResponse,
  body: Buffer,
  rank: number,
) => void;

/** Creates the writer of replies to other daemons; it paces large ones. */
export function createReplyWriter(board: SidecarBoard): ReplyWriter {
  const {pacer, now} = board;
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
  return (res, body, rank) => {
    if (body.length <= pacer.chunkBytes) {
      chargeLink(pacer, body.length, now());
      res.end(body);
      return;
    }
    const message = createMessage(res, body, rank, run);
    pacer.messages.add(message);
    res.once('close', () => pacer.messages.delete(message));
    run();
  };
}

function createMessage(
  res: ServerResponse,
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
        res.end(piece);
        return;
      }
      message.blocked = !res.write(piece);
      if (!message.blocked) return;
      res.once('drain', () => {
        message.blocked = false;
        run();
      });
    },
  };
  return message;
}
