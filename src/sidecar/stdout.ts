import {constants, fstatSync, openSync, write} from 'node:fs';

/** Pause before a full output is written again, ms. */
const FULL_OUTPUT_PAUSE_MS = 50;

/** File descriptor of standard output. */
const STDOUT_FD = 1;

/** Writes text to the output; calls `done` when it can accept more, or with an
 * error once it can't be written any more. */
export type WriteOut = (text: string, done: (err?: Error) => void) => void;

let stdoutFd: number | undefined;

/**
 * Returns a descriptor for writing to standard output. A pipe is opened again
 * as non-blocking: the process can't exit while a thread is blocked in a write,
 * and `O_NONBLOCK` on descriptor 1 itself would apply to its other holders.
 */
export function openStdout(): number {
  stdoutFd ??= reopenPipe(STDOUT_FD);
  return stdoutFd;
}

function reopenPipe(fd: number): number {
  try {
    if (!fstatSync(fd).isFIFO()) return fd;
    const {O_NONBLOCK, O_WRONLY} = constants;
    return openSync(`/proc/self/fd/${fd}`, O_WRONLY | O_NONBLOCK);
  } catch {
    // Closed, without a reader, or of another user.
    return fd;
  }
}

/** Writes to standard output through the thread pool: a consumer that stops
 * reading never blocks the event loop. */
export const writeStdout: WriteOut = (text, done) => {
  const bytes = Buffer.from(text);
  const fd = openStdout();
  const writeFrom = (from: number): void => {
    write(fd, bytes, from, bytes.length - from, null, (err, written) => {
      if (err?.code === 'EAGAIN') {
        setTimeout(writeFrom, FULL_OUTPUT_PAUSE_MS, from);
        return;
      }
      if (err) {
        done(err);
        return;
      }
      const next = from + written;
      if (next >= bytes.length) done();
      else writeFrom(next);
    });
  };
  writeFrom(0);
};
