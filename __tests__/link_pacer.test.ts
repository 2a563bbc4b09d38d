import test from 'ava';
import {
  type LinkPacer,
  type PacedMessage,
  chargeLink,
  countUnsentBytes,
  createLinkPacer,
  sendPaced,
} from '../src/internal.js';

/** Rate at which a piece of the smallest size takes 16.384 / 0.9 ms. */
const BYTES_PER_S = 1_000_000;

function addMessage(
  pacer: LinkPacer,
  log: string[],
  name: string,
  remainingBytes: number,
  rank = 1,
): PacedMessage {
  const message: PacedMessage = {
    rank,
    remainingBytes,
    blocked: false,
    send: bytes => log.push(`${name} ${bytes}`),
  };
  pacer.messages.add(message);
  return message;
}

/** Sends until no message is left; returns the time it takes, ms. */
function sendAll(pacer: LinkPacer, from: number): number {
  let now = from;
  for (;;) {
    const waitMs = sendPaced(pacer, now);
    if (waitMs === undefined) return now - from;
    now += waitMs + 0.001;
  }
}

test('messages leave by rank, then the one with the least left', t => {
  const pacer = createLinkPacer(BYTES_PER_S, 0);
  const log: string[] = [];
  addMessage(pacer, log, 'long', 40_000);
  addMessage(pacer, log, 'short', 20_000);
  addMessage(pacer, log, 'urgent', 30_000, 0);
  sendAll(pacer, 0);
  t.snapshot(log);
});

test('large messages take no more than their share of the link', t => {
  const pacer = createLinkPacer(BYTES_PER_S, 0);
  for (let i = 0; i < 5; i++) addMessage(pacer, [], 'm', 90_000);
  t.is(countUnsentBytes(pacer), 450_000);
  const ms = sendAll(pacer, 0);
  t.is(countUnsentBytes(pacer), 0);
  // Two pieces may leave ahead of the rate.
  t.true(ms >= (450_000 - 2 * pacer.chunkBytes) / 900);
  t.true(ms <= 450_000 / 900);
});

// With a link of 33.3 Mbit/s some replies were never ended: the pieces added up to
// a fraction more or less than the reply, and customers got 504.
test('pieces are whole bytes at any rate', t => {
  for (let mbps = 15; mbps <= 140; mbps += 0.1) {
    const pacer = createLinkPacer((mbps * 1e6) / 8, 0);
    let sentBytes = 0;
    pacer.messages.add({
      rank: 1,
      remainingBytes: 260_000,
      blocked: false,
      send(bytes) {
        t.true(Number.isInteger(bytes), `${bytes} bytes at ${mbps} Mbit/s`);
        sentBytes += bytes;
      },
    });
    sendAll(pacer, 0);
    t.is(sentBytes, 260_000);
  }
});

test('messages that were sent at once use the same rate', t => {
  const pacer = createLinkPacer(BYTES_PER_S, 0);
  const log: string[] = [];
  chargeLink(pacer, 50_000, 0);
  addMessage(pacer, log, 'm', 20_000);
  const waitMs = sendPaced(pacer, 0);
  t.deepEqual(log, []);
  t.is(waitMs, pacer.chunkBytes / 900);
});

test('a receiver that takes no bytes does not hold up others', t => {
  const pacer = createLinkPacer(BYTES_PER_S, 0);
  const log: string[] = [];
  const stuck = addMessage(pacer, log, 'stuck', 10_000);
  stuck.blocked = true;
  addMessage(pacer, log, 'other', 20_000);
  sendAll(pacer, 0);
  t.deepEqual(log, ['other 16384', 'other 3616']);
  stuck.blocked = false;
  sendAll(pacer, 1_000);
  t.is(log.at(-1), 'stuck 10000');
});
