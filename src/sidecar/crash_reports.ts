import * as z from 'zod';
import {listHosts, recordCrashes, type CrashReport} from '../internal.js';
import {type SidecarBoard, findOwnUpstream} from './board.js';
import type {HttpClient} from './http_client.js';

/** Path at which a daemon receives crash reports. */
export const CRASH_PATH = '/.well-known/berylbend/crashes';

const MAX_REPORTS_PER_MESSAGE = 1_000;

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
  {list, settings, now}: SidecarBoard,
  client: HttpClient,
  reports: readonly CrashReport[],
): void {
  const body = Buffer.from(JSON.stringify(reports));
  const request = {method: 'POST', path: CRASH_PATH, headers: [], body};
  for (const host of listHosts(list)) {
    if (host === settings.host) continue;
    const origin = `http://${host}:${settings.peerPort}`;
    const call = client.send(origin, request, now());
    setTimeout(() => call.abort(), CRASH_REPORT_TIMEOUT_MS);
  }
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
