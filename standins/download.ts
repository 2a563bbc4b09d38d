import type {ServerResponse} from 'node:http';

const CHUNK_BYTES = 16_384;

/** Period of the content of downloads; prime, so that shifts are visible. */
const PATTERN_BYTES = 251;

/** Content of a download at an offset; a checker can compute it again. */
export function createContent(offset: number, length: number): Buffer {
  const chunk = Buffer.allocUnsafe(length);
  for (let i = 0; i < length; i++) chunk[i] = (offset + i) % PATTERN_BYTES;
  return chunk;
}

/** Tells whether a downloaded body is whole and unchanged. */
export function isCompleteDownload(body: Uint8Array, bytes: number): boolean {
  return body.length === bytes && createContent(0, bytes).equals(body);
}

/** Streams a download in chunks with a pause after each, under backpressure. */
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
