import {randomBytes} from 'node:crypto';
import test from 'ava';
import {ChunkList} from '../src/sidecar/chunk_list.js';

/** Bytes that the buffers of a list may take at least per buffer, on average. */
const MIN_MEAN_BYTES = 4_096;

/** Buffers that a list may hold besides, while their bytes are few. */
const MAX_OPEN_BUFFERS = 320;

const SIZES: Record<string, (i: number) => number> = {
  'of one byte': () => 1,
  'of 100 bytes': () => 100,
  'of no byte': () => 0,
  'of 5 kB': () => 5_000,
  'of 64 kB': () => 65_536,
  'of one byte and of 16 kB in turn': i => (i % 2 === 0 ? 1 : 16_384),
  'of one byte before each one of 64 kB': i => (i % 100 === 0 ? 65_536 : 1),
};

for (const [kind, getSize] of Object.entries(SIZES)) {
  // A body of 0.8 MB that came in pieces of one byte took the whole heap.
  test(`pieces ${kind} are held in few buffers, in order`, t => {
    const list = new ChunkList();
    const pieces: Buffer[] = [];
    let size = 0;
    for (let i = 0; i < 20_000 && size < 20_000_000; i++) {
      const piece = randomBytes(getSize(i));
      pieces.push(piece);
      size += piece.length;
      list.push(piece);
      const most = MAX_OPEN_BUFFERS + size / MIN_MEAN_BYTES;
      if (list.bufferCount > most) return t.fail(`${list.bufferCount} buffers`);
    }
    t.is(list.size, size);
    t.true(list.take().equals(Buffer.concat(pieces)));
    t.is(list.size, 0);
    t.is(list.take().length, 0);
  });
}

// Answers of usual sizes come in one piece.
test('a single piece is passed without a copy', t => {
  for (const size of [10, 65_536]) {
    const list = new ChunkList();
    const piece = randomBytes(size);
    list.push(piece);
    t.is(list.take(), piece);
  }
});

// Merging what had come before with each piece would take minutes.
test('the time to hold small pieces grows with their number', t => {
  t.timeout(20_000);
  const list = new ChunkList();
  const piece = Buffer.from('x');
  for (let i = 0; i < 4_000_000; i++) list.push(piece);
  t.is(list.take().length, 4_000_000);
});
