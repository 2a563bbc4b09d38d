import {createHmac, timingSafeEqual} from 'node:crypto';

/** HMAC-SHA256 over the parts under the shared key, hex. */
export function sign(key: string, ...parts: string[]): string {
  const hmac = createHmac('sha256', key);
  for (const part of parts) {
    // The length prefix keeps ('ab', 'c') and ('a', 'bc') apart.
    hmac.update(`${part.length}:${part}`);
  }
  return hmac.digest('hex');
}

/** Compares a received MAC with the expected one in constant time. */
export function verify(
  key: string,
  mac: string | undefined,
  ...parts: string[]
): boolean {
  if (mac === undefined) return false;
  const expected = Buffer.from(sign(key, ...parts));
  const received = Buffer.from(mac);
  return (
    expected.length === received.length && timingSafeEqual(expected, received)
  );
}
