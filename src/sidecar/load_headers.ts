import type {IncomingHttpHeaders} from 'node:http';
import {
  type LoadReport,
  HEADERS,
  formatReport,
  formatWork,
  parseReport,
  parseWork,
} from '../internal.js';
import {readHeader} from './header_copy.js';

/** Headers that carry a load report. */
export function formatLoadHeaders(report: LoadReport): Record<string, string> {
  const load = {[HEADERS.load]: formatReport(report)};
  if (!report.work) return load;
  return {...load, [HEADERS.work]: formatWork(report.work)};
}

/** Reads the load report of a reply; undefined when absent or malformed. */
export function readLoadHeaders(
  headers: IncomingHttpHeaders,
): LoadReport | undefined {
  const report = parseReport(readHeader(headers, HEADERS.load));
  const work = parseWork(readHeader(headers, HEADERS.work));
  return report && work ? {...report, work} : report;
}
