import bunyan from 'bunyan';
import {type WriteOut, writeStdout} from './stdout.js';

/** Lines per second for successful requests; more are dropped and counted. */
export const ROUTINE_LINES_PER_S = 40;

/** Lines per second for failures, refusals and resends. */
export const NOTABLE_LINES_PER_S = 200;

/** Bytes buffered for output; lines beyond it are dropped and counted. */
export const MAX_PENDING_BYTES = 262_144;

/** Time for which `close` waits for the output, ms. */
const CLOSE_WAIT_MS = 500;

/** Interval between writes, ms; each writes all buffered lines. */
const FLUSH_MS = 100;

/** Priority: `routine` has the lowest rate limit; `always`, for changes of
 * state, has none. */
export type LinePriority = 'routine' | 'notable' | 'always';

/** Fields of a line. */
export type LineFields = Record<string, string | number | boolean | undefined>;

/** Names a daemon in its lines. */
export interface LogIdentity {
  readonly id: string;
  readonly dataCentre: string;
}

/** Log of decisions; writing never blocks the process. */
export interface DecisionLog {
  /** Writes one line, or drops and counts it above a limit. */
  write(priority: LinePriority, decision: string, fields: LineFields): void;
  /** Sets the daemon of later lines; the first ones are written before the
   * settings are known. */
  identify(identity: LogIdentity): void;
  /** Writes the buffered lines without waiting for the interval. */
  flush(): void;
  /** Removes and returns the lines that have not been handed to the output. */
  takePending(): string;
  /** Number of lines dropped so far. */
  countDropped(): number;
  /** Resolves when all pending lines have been written, when the output has
   * failed, or after `CLOSE_WAIT_MS`. */
  close(): Promise<void>;
}

/** Options of a decision log. */
export interface DecisionLogOptions extends Partial<LogIdentity> {
  readonly now: () => number;
  readonly out?: WriteOut;
}

/** Creates the log of one process. */
export function createDecisionLog(options: DecisionLogOptions): DecisionLog {
  const {now, out = writeStdout} = options;
  let pending: string[] = [];
  let pendingBytes = 0;
  let writing = false;
  let failed = false;
  let dropped = 0;
  let reportedDrops = 0;
  let onDrained: (() => void) | undefined;
  let timer: NodeJS.Timeout | undefined;

  const takePending = (): string => {
    const text = pending.join('');
    pending = [];
    pendingBytes = 0;
    return text;
  };
  const flush = (): void => {
    timer = undefined;
    if (writing) return;
    if (failed || pending.length === 0) {
      onDrained?.();
      return;
    }
    const text = takePending();
    writing = true;
    out(text, err => {
      writing = false;
      // Logging ends when the output is closed; requests continue.
      if (err) stopWriting();
      if (onDrained || pending.length > 0) schedule();
    });
  };
  const schedule = (): void => {
    timer ??= setTimeout(flush, onDrained ? 0 : FLUSH_MS);
  };
  const stopWriting = (): void => {
    failed = true;
    dropped += pending.length;
    takePending();
  };
  const stream = {
    write(line: string): void {
      if (failed || pendingBytes + line.length > MAX_PENDING_BYTES) {
        dropped++;
        return;
      }
      pending.push(line);
      pendingBytes += line.length;
      schedule();
    },
  };
  let logger = bunyan.createLogger({
    name: 'berylbend',
    id: options.id,
    dataCentre: options.dataCentre,
    streams: [{level: 'info', stream: stream as NodeJS.WritableStream}],
  });

  let windowStart = -Infinity;
  const remaining = {routine: 0, notable: 0};
  const startWindow = (at: number): void => {
    if (at - windowStart < 1_000) return;
    windowStart = at;
    remaining.routine = ROUTINE_LINES_PER_S;
    remaining.notable = NOTABLE_LINES_PER_S;
    if (dropped === reportedDrops) return;
    logger.warn({decision: 'linesDropped', lines: dropped - reportedDrops});
    reportedDrops = dropped;
  };
  return {
    write(priority, decision, fields) {
      startWindow(now());
      if (priority !== 'always' && remaining[priority]-- <= 0) {
        dropped++;
        return;
      }
      const level = priority === 'notable' ? 'warn' : 'info';
      logger[level]({decision, ...fields});
    },
    identify({id, dataCentre}) {
      logger = logger.child({id, dataCentre});
    },
    flush() {
      clearTimeout(timer);
      flush();
    },
    takePending,
    countDropped: () => dropped,
    close() {
      return new Promise(resolve => {
        const waiting = setTimeout(resolve, CLOSE_WAIT_MS);
        onDrained = () => {
          clearTimeout(waiting);
          resolve();
        };
        clearTimeout(timer);
        timer = undefined;
        flush();
      });
    },
  };
}
