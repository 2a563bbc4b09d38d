import {constants, fstatSync, openSync, write, writeSync} from 'node:fs';

/** Pause before a full output is written again, ms. */
const FULL_OUTPUT_PAUSE_MS = 50;

/** Attempts of `writeAtOnce` to write to a full output. */
const MAX_ATTEMPTS = 20;

/** Pause between these attempts, ms. */
const ATTEMPT_PAUSE_MS = 10;

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

/** Writes bytes and returns how many were taken; throws like `fs.writeSync`. */
export type WriteBytes = (bytes: Uint8Array) => number;

/** Writes text before it returns. Gives up when the output fails, or takes
 * nothing for 200 ms. */
export function writeAtOnce(
  text: string,
  write: WriteBytes = bytes => writeSync(openStdout(), bytes),
): void {
  let rest: Uint8Array = Buffer.from(text);
  let attempts = 0;
  while (rest.length > 0 && attempts < MAX_ATTEMPTS) {
    try {
      rest = rest.subarray(write(rest));
      attempts = 0;
    } catch (err) {
      if ((err as NodeJS.ErrnoException).code !== 'EAGAIN') return;
      attempts++;
      blockThread(ATTEMPT_PAUSE_MS);
    }
  }
}

function blockThread(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}
