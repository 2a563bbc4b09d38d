import type {IncomingHttpHeaders} from 'node:http';
import {CONNECTION_HEADERS} from '../internal.js';

/** Prefix of headers between daemons, which customers cannot set. */
const INTERNAL_PREFIX = 'berylbend-';

/** Headers that apply to one connection or that the next sender sets itself. */
const HOP_BY_HOP = new Set([...CONNECTION_HEADERS, 'content-length']);

/**
 * Copies the end-to-end headers of a list of alternating names and values.
 * `dropped` names further headers to omit, in lower case.
 */
export function copyRawHeaders(
  raw: readonly string[],
  connection: string | undefined,
  dropped: readonly string[],
): string[] {
  const named = splitHeaderNames(connection);
  const copy: string[] = [];
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i].toLowerCase();
    if (HOP_BY_HOP.has(name) || name.startsWith(INTERNAL_PREFIX)) continue;
    if (named.includes(name) || dropped.includes(name)) continue;
    copy.push(raw[i], raw[i + 1]);
  }
  return copy;
}

/** Copies the end-to-end headers of an answer, with names in lower case. */
export function copyAnswerHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const named = splitHeaderNames(headers.connection);
  const copy: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name)) continue;
    if (name.startsWith(INTERNAL_PREFIX) || named.includes(name)) continue;
    copy[name] = value;
  }
  return copy;
}

/** Names in a header that lists them; the HTTP client gives a repeated header as
 * a list, which Node's type of this one does not say. */
function splitHeaderNames(value: string | string[] = ''): string[] {
  const text = String(value);
  return text.split(',').map(name => name.trim().toLowerCase());
}

/** Reads a header; undefined unless it occurs exactly once. */
export function readHeader(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : undefined;
}

/** Counts a header, named in lower case, in a list of names and values. */
export function countHeader(raw: readonly string[], name: string): number {
  let count = 0;
  for (let i = 0; i < raw.length; i += 2) {
    const isSameLength = raw[i].length === name.length;
    if (isSameLength && raw[i].toLowerCase() === name) count++;
  }
  return count;
}
