// Minimal HTTP/1.1 parsing of both directions, so that the stand-ins decide
// themselves when each byte is written.

/** Reads messages from a byte stream; `onMessage` gets each complete one. */
export function createParser(onMessage) {
  let buffered = Buffer.alloc(0);
  return chunk => {
    buffered = Buffer.concat([buffered, chunk]);
    for (;;) {
      const end = buffered.indexOf('\r\n\r\n');
      if (end < 0) return;
      const [first, ...lines] = buffered
        .toString('latin1', 0, end)
        .split('\r\n');
      const headers = {};
      for (const line of lines) {
        const colon = line.indexOf(':');
        const name = line.slice(0, colon).toLowerCase();
        headers[name] = line.slice(colon + 1).trim();
      }
      const length = Number(headers['content-length'] ?? 0);
      if (buffered.length < end + 4 + length) return;
      const body = buffered.subarray(end + 4, end + 4 + length);
      buffered = buffered.subarray(end + 4 + length);
      onMessage({first, headers, body});
    }
  };
}

/** Formats a message; a length is added unless `body` is undefined. */
export function formatMessage(first, headers, body) {
  const lines = Object.entries(headers).map(
    ([name, value]) => `${name}: ${value}`,
  );
  if (body !== undefined)
    lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
  const head = [first, ...lines, '', ''].join('\r\n');
  return Buffer.concat([Buffer.from(head, 'latin1'), Buffer.from(body ?? '')]);
}
