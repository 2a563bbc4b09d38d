import type {IncomingHttpHeaders} from 'node:http';
import {CONNECTION_HEADERS} from '../internal.js';

/** Prefix of the headers that daemons exchange; customers cannot set them. */
const INTERNAL_PREFIX = 'berylbend-';

/** Headers that describe one connection or that the next sender sets itself. */
const HOP_BY_HOP = new Set([...CONNECTION_HEADERS, 'content-length']);

/**
 * Copies end-to-end headers as names and values in turn. `dropped` names
 * further headers, in lower case.
 */
export function copyRawHeaders(
  raw: readonly string[],
  connection: string | undefined,
  dropped: readonly string[],
): string[] {
  const named = connection ? splitHeaderNames(connection) : [];
  const copy: string[] = [];
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i].toLowerCase();
    if (HOP_BY_HOP.has(name) || name.startsWith(INTERNAL_PREFIX)) continue;
    if (named.includes(name) || dropped.includes(name)) continue;
    copy.push(raw[i], raw[i + 1]);
  }
  return copy;
}

/** Copies the end-to-end headers of an answer. */
export function copyAnswerHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const named = headers.connection ? splitHeaderNames(headers.connection) : [];
  const copy: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name)) continue;
    if (name.startsWith(INTERNAL_PREFIX) || named.includes(name)) continue;
    copy[name] = value;
  }
  return copy;
}

function splitHeaderNames(text: string): string[] {
  return text.split(',').map(name => name.trim().toLowerCase());
}

/** Reads a header that must occur once; undefined otherwise. */
export function readHeader(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : undefined;
}
