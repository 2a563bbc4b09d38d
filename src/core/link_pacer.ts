/** Smallest piece of a large message that is sent at once, bytes. */
const MIN_CHUNK_BYTES = 16_384;

/** Time on the link that one piece may take when the link is fast, ms. */
const CHUNK_MS = 10;

/** Share of the link's rate that paced messages use; the rest is for requests
 * to other daemons, answers to customers and the headers of packets. */
const PACED_SHARE = 0.9;

/** A large message that is sent in pieces. */
export interface PacedMessage {
  /** Priority; 0 is sent first. */
  readonly rank: number;
  remainingBytes: number;
  /** True while the receiver takes no more bytes. */
  blocked: boolean;
  /** Sends the next bytes; sets `blocked` when the receiver takes no more. */
  send(bytes: number): void;
}

/**
 * Paces large messages to the rate of the instance's link, so that small ones
 * do not wait behind them in the queue of the link.
 */
export interface LinkPacer {
  readonly bytesPerMs: number;
  readonly chunkBytes: number;
  /** Bytes that may be sent now; negative while the link catches up. */
  credit: number;
  refilledAt: number;
  readonly messages: Set<PacedMessage>;
}

/** Creates the pacer of a link with the given rate, bytes per second. */
export function createLinkPacer(bytesPerS: number, now: number): LinkPacer {
  const bytesPerMs = (bytesPerS * PACED_SHARE) / 1_000;
  // Whole bytes: the sum of fractions never equals the length of a message.
  const chunkBytes = Math.max(
    MIN_CHUNK_BYTES,
    Math.floor(bytesPerMs * CHUNK_MS),
  );
  return {
    bytesPerMs,
    chunkBytes,
    credit: chunkBytes,
    refilledAt: now,
    messages: new Set(),
  };
}

/** Records a message that was sent at once. */
export function chargeLink(pacer: LinkPacer, bytes: number, now: number): void {
  refill(pacer, now);
  pacer.credit = Math.max(-pacer.chunkBytes, pacer.credit - bytes);
}

function refill(pacer: LinkPacer, now: number): void {
  const gained = (now - pacer.refilledAt) * pacer.bytesPerMs;
  pacer.credit = Math.min(pacer.chunkBytes, pacer.credit + gained);
  pacer.refilledAt = now;
}

/** Bytes of large messages that have not been sent yet. */
export function countUnsentBytes({messages}: LinkPacer): number {
  let bytes = 0;
  for (const {remainingBytes} of messages) bytes += remainingBytes;
  return bytes;
}

/**
 * Sends pieces while the rate allows it, the most urgent message first and the
 * one with the least bytes left among equals. Returns the time until the next
 * piece may be sent, ms; undefined when no message waits for it.
 */
export function sendPaced(pacer: LinkPacer, now: number): number | undefined {
  refill(pacer, now);
  for (;;) {
    const next = findNext(pacer);
    if (!next) return undefined;
    if (pacer.credit <= 0) return -pacer.credit / pacer.bytesPerMs;
    const bytes = Math.min(pacer.chunkBytes, next.remainingBytes);
    pacer.credit -= bytes;
    next.remainingBytes -= bytes;
    if (next.remainingBytes === 0) pacer.messages.delete(next);
    next.send(bytes);
  }
}

function findNext({messages}: LinkPacer): PacedMessage | undefined {
  let best: PacedMessage | undefined;
  for (const message of messages) {
    if (message.blocked) continue;
    if (!best || isBefore(message, best)) best = message;
  }
  return best;
}

function isBefore(a: PacedMessage, b: PacedMessage): boolean {
  if (a.rank !== b.rank) return a.rank < b.rank;
  return a.remainingBytes < b.remainingBytes;
}
