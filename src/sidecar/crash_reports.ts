import * as z from 'zod';
import {
  listHosts,
  readSuspectRecord,
  recordCrashes,
  type CrashReport,
} from '../internal.js';
import {type SidecarBoard, findOwnUpstream} from './board.js';
import {CRASH_PATH, MAX_RECORDS, applyCrashRecords} from './crash_records.js';
import type {HttpClient} from './http_client.js';
import {setTimeout as delay} from 'node:timers/promises';

const MAX_REPORTS_PER_MESSAGE = 1_000;

/** Attempts to send reports to a daemon that does not answer: it may be paused or
 * cut off for some seconds. */
const MAX_SENDS = 4;

/** Pause before reports are sent again, ms. */
const SEND_AGAIN_MS = 500;

/** Schema of a message with crash reports. */
export const crashReportsSchema = z
  .array(
    z.object({
      fingerprint: z.string(),
      service: z.string(),
      upstream: z.string(),
      crashes: z.int().min(1),
      ageMs: z.number().min(0),
    }),
  )
  .max(MAX_REPORTS_PER_MESSAGE);

/** Timeout of sending crash reports to another daemon, ms. */
export const CRASH_REPORT_TIMEOUT_MS = 1_000;

/**
 * Creates the function that records the fingerprints of the requests that were
 * running when the local upstream crashed, and reports them to all daemons.
 */
export function createCrashReporter(
  board: SidecarBoard,
  client: HttpClient,
): (fingerprints: string[]) => void {
  return fingerprints => {
    const own = findOwnUpstream(board);
    if (!own) return;
    const {service, id: upstream} = own;
    const reports = fingerprints.map(fingerprint => {
      return {fingerprint, service, upstream, crashes: 1, ageMs: 0};
    });
    applyCrashReports(board, reports);
    sendToPeers(board, client, reports);
  };
}

function sendToPeers(
  board: SidecarBoard,
  client: HttpClient,
  reports: readonly CrashReport[],
): void {
  const {list, settings} = board;
  for (const host of listHosts(list)) {
    if (host === settings.host) continue;
    void sendToPeer(board, client, host, reports);
  }
}

/** Sends reports until the daemon answers; it tells what it knows beyond them. */
async function sendToPeer(
  board: SidecarBoard,
  client: HttpClient,
  host: string,
  reports: readonly CrashReport[],
): Promise<void> {
  const crashedAt = board.now();
  const origin = `http://${host}:${board.settings.peerPort}`;
  for (let sends = 0; sends < MAX_SENDS; sends++) {
    if (sends > 0) await delay(SEND_AGAIN_MS, undefined, {ref: false});
    if (!listHosts(board.list).includes(host)) return;
    const ageMs = board.now() - crashedAt;
    const aged = reports.map(report => ({...report, ageMs}));
    const body = Buffer.from(JSON.stringify(aged));
    const request = {method: 'POST', path: CRASH_PATH, headers: [], body};
    const call = client.send(origin, request, board.now());
    const timer = setTimeout(() => call.abort(), CRASH_REPORT_TIMEOUT_MS);
    const result = await call.result;
    clearTimeout(timer);
    if (result.kind !== 'answer') continue;
    const {status, body: known} = result.answer;
    if (status === 200) applyCrashRecords(board, host, known);
    return;
  }
}

/** Answers reports with what this daemon knows beyond them; undefined if nothing. */
export function formatKnownCrashes(
  {suspects, crashRecords, now}: SidecarBoard,
  reports: readonly CrashReport[],
): string | undefined {
  const records = reports.flatMap(({fingerprint, crashes}) => {
    const record = readSuspectRecord(suspects, fingerprint, now());
    return record && record.crashes > crashes ? [record] : [];
  });
  if (records.length === 0) return undefined;
  const {complete} = crashRecords;
  return JSON.stringify({complete, records: records.slice(0, MAX_RECORDS)});
}

/** Records reports of requests that were running when an upstream crashed. */
export function applyCrashReports(
  board: SidecarBoard,
  reports: readonly CrashReport[],
): void {
  const newReports = recordCrashes(board.suspects, reports, board.now());
  for (const {fingerprint, upstream, crashes} of newReports) {
    board.log.write('notable', 'crashReported', {
      fingerprint,
      upstream,
      crashes,
    });
  }
}
