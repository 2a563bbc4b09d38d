import {createHmac, timingSafeEqual} from 'node:crypto';

/** Returns the HMAC-SHA256 of the parts under the shared key, in hex. */
export function sign(key: string, ...parts: string[]): string {
  const hmac = createHmac('sha256', key);
  for (const part of parts) {
    // The length prefix distinguishes ('ab', 'c') from ('a', 'bc').
    hmac.update(`${part.length}:${part}`);
  }
  return hmac.digest('hex');
}

/** Verifies a received MAC in constant time. */
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
