import * as z from 'zod';
import {
  MAX_COPY_AGE_MS,
  REFUSAL_MAX_MS,
  CRASH_MEMORY_MS,
  count,
  listHosts,
  listSuspectRecords,
  mergeSuspectRecords,
  setReplyTimeout,
  type SuspectRecord,
} from '../internal.js';
import type {SidecarBoard} from './board.js';
import type {HttpClient} from './http_client.js';

/** Path at which a daemon receives crash reports and tells what it knows. */
export const CRASH_PATH = '/.well-known/berylbend/crashes';

/** Records in one message; the latest ones are sent. */
export const MAX_RECORDS = 1_000;

/** Largest message with records that is accepted, bytes. */
const MAX_MESSAGE_BYTES = 1_048_576;

/** Daemons that are asked at once. Each crash is reported to all daemons, so one
 * that has missed none is enough. */
const ASKED_DAEMONS = 8;

/** Timeout of asking another daemon, ms. Requests of customers wait for it at the
 * start. */
const ASK_TIMEOUT_MS = 400;

/** Shortest time between two rounds of asking, ms. */
const ASK_INTERVAL_MS = 1_000;

/** Rounds after which the records count as complete without the answer of a daemon
 * that has been told those of others: all may have started together. */
const MAX_ROUNDS = 5;

/** Pause of this process after which it may have missed a report, ms: other
 * daemons try to send it for longer. */
const MISSED_PAUSE_MS = 500;

/** Schema of what a daemon knows of a request that crashed upstreams. */
export const suspectRecordSchema = z.object({
  fingerprint: z.string().regex(/^[0-9a-f]{16,64}$/),
  upstream: z.string().min(1).max(200),
  crashes: z.int().min(1).max(1_000_000),
  ageMs: z.number().min(0),
  refusalMs: z.number().min(0).max(REFUSAL_MAX_MS),
  refusalEndsInMs: z
    .number()
    .min(-CRASH_MEMORY_MS)
    .max(REFUSAL_MAX_MS)
    .optional(),
});

const recordsSchema = z.object({
  /** True when the sender has been told the records of others. */
  complete: z.boolean(),
  records: z.array(suspectRecordSchema).max(MAX_RECORDS),
});

/** What a daemon has learned from others of requests that crash upstreams. */
export interface CrashRecords {
  /** True once a daemon has answered that was told the records of others, or after
   * some rounds; false again when reports may have been missed. */
  complete: boolean;
  /** Rounds without such an answer, but with another one. */
  rounds: number;
  /** Pending while the first round lasts, for which requests wait. */
  starting?: Promise<void>;
  /** Hosts of daemons that were silent and have been heard again. */
  readonly returned: Set<string>;
  asking: boolean;
  /** Monotonic time of the latest round, ms. */
  askedAt: number;
  /** Monotonic time of the latest check, ms. */
  checkedAt: number;
  /** True while the copy of the store is old, as it is when cut off. */
  wasCopyOld: boolean;
}

/** Creates the state of a daemon that has asked nobody. */
export function createCrashRecords(): CrashRecords {
  return {
    complete: false,
    rounds: 0,
    returned: new Set(),
    asking: false,
    askedAt: -Infinity,
    checkedAt: Infinity,
    wasCopyOld: false,
  };
}

/** Answers a daemon that asks for the records. */
export function formatCrashRecords(board: SidecarBoard): string {
  const {suspects, crashRecords, now} = board;
  const records = listSuspectRecords(suspects, now(), MAX_RECORDS);
  return JSON.stringify({complete: crashRecords.complete, records});
}

/** Applies records of another daemon; returns whether it had asked others, or
 * undefined when they are malformed. */
export function applyCrashRecords(
  board: SidecarBoard,
  host: string,
  body: Buffer,
): boolean | undefined {
  try {
    if (body.length > MAX_MESSAGE_BYTES) throw new Error('too large');
    const {complete, records} = recordsSchema.parse(
      JSON.parse(body.toString()),
    );
    mergeRecords(board, host, records);
    return complete;
  } catch (err) {
    count(board, 'crash_records_malformed');
    board.log.write('notable', 'crashRecordsMalformed', {
      host,
      reason: (err as Error).message.slice(0, 200),
    });
    return undefined;
  }
}

function mergeRecords(
  {suspects, log, now}: SidecarBoard,
  host: string,
  records: readonly SuspectRecord[],
): void {
  for (const record of mergeSuspectRecords(suspects, records, now())) {
    const {fingerprint, upstream, crashes} = record;
    const detail = {host, fingerprint, upstream, crashes};
    log.write('notable', 'crashLearned', detail);
  }
}

/**
 * Asks other daemons for the crashes that they know, once the list names them
 * after the start, and whenever reports may have been missed: after a pause of
 * this process, after a cut, and when a silent daemon is heard again. Called at
 * short intervals.
 */
export function refreshCrashRecords(
  board: SidecarBoard,
  client: HttpClient,
): void {
  const {crashRecords: state, list} = board;
  const now = board.now();
  noteMissedReports(board, now);
  if (!list.complete || state.asking) return;
  if (state.complete && state.returned.size === 0) return;
  if (now - state.askedAt < ASK_INTERVAL_MS) return;
  const isStart = state.askedAt === -Infinity;
  state.askedAt = now;
  const hosts = pickHosts(board);
  const returned = new Set(state.returned);
  state.returned.clear();
  if (hosts.length === 0) return;
  state.asking = true;
  const first = askHosts(board, client, hosts, returned);
  if (!isStart) return;
  state.starting = first.then(() => {
    state.starting = undefined;
  });
}

function noteMissedReports(board: SidecarBoard, now: number): void {
  const {crashRecords: state} = board;
  const isCopyOld = board.readMirrorAge() > MAX_COPY_AGE_MS;
  const wasPaused = now - state.checkedAt > MISSED_PAUSE_MS;
  if (wasPaused || (state.wasCopyOld && !isCopyOld)) {
    state.complete = false;
    state.rounds = 0;
  }
  state.wasCopyOld = isCopyOld;
  state.checkedAt = now;
}

/** Picks daemons to ask: those that were silent, then others at random. */
function pickHosts({
  crashRecords,
  list,
  settings,
  random,
}: SidecarBoard): string[] {
  const hosts = listHosts(list).filter(host => host !== settings.host);
  const order = new Map(
    hosts.map(host => [
      host,
      random() - (crashRecords.returned.has(host) ? 1 : 0),
    ]),
  );
  return hosts
    .sort((a, b) => (order.get(a) ?? 0) - (order.get(b) ?? 0))
    .slice(0, ASKED_DAEMONS);
}

/** Asks daemons; resolves when one that has asked others has answered, or when
 * none is left to answer. One that has returned and does not answer is asked
 * again. */
function askHosts(
  board: SidecarBoard,
  client: HttpClient,
  hosts: readonly string[],
  returned: ReadonlySet<string>,
): Promise<void> {
  const {crashRecords: state} = board;
  let isComplete = false;
  let isAnswered = false;
  return new Promise(resolve => {
    const asked = hosts.map(async host => {
      const answer = await askHost(board, client, host);
      if (answer === undefined) {
        if (returned.has(host)) state.returned.add(host);
        return;
      }
      isAnswered = true;
      if (!answer) return;
      isComplete = true;
      state.complete = true;
      resolve();
    });
    void Promise.all(asked).then(() => {
      state.asking = false;
      if (isComplete) state.rounds = 0;
      else if (isAnswered) state.rounds++;
      if (state.rounds >= MAX_ROUNDS) state.complete = true;
      resolve();
    });
  });
}

/** Asks one daemon; returns whether it had asked others, or undefined without an
 * answer. */
async function askHost(
  board: SidecarBoard,
  client: HttpClient,
  host: string,
): Promise<boolean | undefined> {
  count(board, 'crash_records_asked');
  const origin = `http://${host}:${board.settings.peerPort}`;
  const request = {
    method: 'GET',
    path: CRASH_PATH,
    headers: [],
    body: undefined,
  };
  const call = client.send(origin, request, board.now());
  const cancelTimeout = setReplyTimeout(() => call.abort(), ASK_TIMEOUT_MS);
  const result = await call.result;
  cancelTimeout();
  if (result.kind !== 'answer') return undefined;
  const {status, body} = result.answer;
  // An earlier version of the program has no records to tell.
  if (status === 404) return false;
  if (status !== 200) return undefined;
  return applyCrashRecords(board, host, body);
}
