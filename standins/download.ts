import type {ServerResponse} from 'node:http';

const CHUNK_BYTES = 16_384;

/** Period of the content; a prime, so that shifted data is detected. */
const PATTERN_BYTES = 251;

/** Creates deterministic download content for an offset. */
export function createContent(offset: number, length: number): Buffer {
  const chunk = Buffer.allocUnsafe(length);
  for (let i = 0; i < length; i++) chunk[i] = (offset + i) % PATTERN_BYTES;
  return chunk;
}

/** Checks that a downloaded body is complete and uncorrupted. */
export function isCompleteDownload(body: Uint8Array, bytes: number): boolean {
  return body.length === bytes && createContent(0, bytes).equals(body);
}

/** Streams a download in chunks, `chunkMs` apart, and honours backpressure. */
export function streamDownload(
  res: ServerResponse,
  bytes: number,
  chunkMs: number,
  signal: AbortSignal,
  onDone: () => void,
): void {
  let sent = 0;
  res.writeHead(200, {
    'content-type': 'application/octet-stream',
    'content-length': bytes,
  });

  function sendNext(): void {
    if (signal.aborted) return;
    const size = Math.min(CHUNK_BYTES, bytes - sent);
    const flushed = res.write(createContent(sent, size));
    sent += size;
    if (sent >= bytes) {
      onDone();
      res.end();
      return;
    }
    if (flushed) setTimeout(sendNext, chunkMs);
    else res.once('drain', () => setTimeout(sendNext, chunkMs));
  }

  sendNext();
}
