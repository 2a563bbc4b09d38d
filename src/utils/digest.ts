import {createHash} from 'node:crypto';

/** Length of a digest in hex digits. */
export const DIGEST_HEX_DIGITS = 32;

/** Serialises JSON data with sorted keys, so equal data yields equal text. */
export function canonicalJson(value: unknown): string {
  if (Array.isArray(value)) {
    return `[${value.map(canonicalJson).join(',')}]`;
  }
  if (value !== null && typeof value === 'object') {
    const fields = Object.entries(value)
      .filter(([, field]) => field !== undefined)
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([key, field]) => `${JSON.stringify(key)}:${canonicalJson(field)}`);
    return `{${fields.join(',')}}`;
  }
  return JSON.stringify(value) ?? 'null';
}

/** Digest of JSON data: 32 hex digits of SHA-256 over its canonical form. */
export function computeDigest(value: unknown): string {
  return createHash('sha256')
    .update(canonicalJson(value))
    .digest('hex')
    .slice(0, DIGEST_HEX_DIGITS);
}
