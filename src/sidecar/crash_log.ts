import {inspect} from 'node:util';
import VError from 'verror';
import type {DecisionLog, LineFields} from './decision_log.js';
import {type WriteBytes, writeAtOnce} from './stdout.js';

/** Exit code of a process that ends for an error. */
const CRASH_EXIT_CODE = 1;

/** Where the error that ends the process came from. */
export type CrashSource = 'main' | 'uncaughtException' | 'unhandledRejection';

/** Writes the buffered lines and then a line `crashed`, at once. Lines that a
 * thread of the pool is writing may follow: the exit waits for that thread. */
export function writeCrash(
  log: DecisionLog,
  err: unknown,
  source: CrashSource,
  write?: WriteBytes,
): void {
  // Taken first: a full buffer would drop the line of the crash.
  const earlier = log.takePending();
  log.write('always', 'crashed', {source, ...describeError(err)});
  writeAtOnce(earlier + log.takePending(), write);
}

function describeError(err: unknown): LineFields {
  if (!(err instanceof Error)) return {error: String(err)};
  const stack = err.stack?.replaceAll(/\s*\n\s*/g, ' ');
  return {error: err.message, code: findCode(err), stack};
}

/** Returns the code of an error or of the first cause that has one. */
function findCode(err: Error): string | undefined {
  let current: Error | null = err;
  while (current) {
    const {code} = current as NodeJS.ErrnoException;
    if (code !== undefined) return String(code);
    current = VError.cause(current);
  }
  return undefined;
}

/** Writes a line `crashed`, and the error to standard error, then ends the process
 * with code 1. */
export function crash(
  log: DecisionLog,
  err: unknown,
  source: CrashSource,
): never {
  try {
    writeCrash(log, err, source);
    const text = source === 'main' ? (err as Error).message : inspect(err);
    process.stderr.write(`${text}\n`);
  } finally {
    process.exit(CRASH_EXIT_CODE);
  }
}

/** Ends the process with a line `crashed` for an error that nothing handles. */
export function crashOnUnhandled(log: DecisionLog): void {
  process.on('uncaughtException', err => {
    crash(log, err, 'uncaughtException');
  });
  process.on('unhandledRejection', err => {
    crash(log, err, 'unhandledRejection');
  });
}
