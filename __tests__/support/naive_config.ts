import {
  applyEntries,
  computeDigest,
  createBoard,
  createConfigState,
  createRandom,
  handleList,
  makePatch,
  type Board,
  type ConfigState,
  type Document,
  type Entry,
  type MemberRecord,
  type Version,
} from '../../src/internal.js';
import {createDocument} from './documents.js';

/** State of a daemon that watches one key and applies each document. */
export interface NaiveDaemon {
  version: number;
  document?: Document;
}

/** Applies a document as it arrives, without validation or ordering. */
export function applyNaively(
  daemon: NaiveDaemon,
  delivery: {version: number; document: Document},
): void {
  daemon.version = delivery.version;
  daemon.document = delivery.document;
}

/** Copies a document with a different slot count of its first service. */
export function withSlots(document: Document, slots: number): Document {
  const copy = structuredClone(document);
  copy.services.s0.slots = slots;
  return copy;
}

/** Append-only series of entries, and the state from folding all of them. */
export class Series {
  readonly entries: Entry[] = [];
  readonly reference: ConfigState = createConfigState();

  /** Publishes `versions` versions, with 1, 2, ... slots. */
  constructor(versions = 1) {
    const first = withSlots(createDocument(['d1', 'd2'], 1, 1), 1);
    this.publishSnapshot(1, first);
    for (let n = 2; n <= versions; n++) this.publishSlots(n);
  }

  get version(): Version {
    return this.reference.current!;
  }

  publish(kind: string, value: unknown): Entry {
    const prev = this.reference.index;
    const entry = {index: prev + 1, prev, kind, value: structuredClone(value)};
    this.entries.push(entry);
    applyEntries(this.reference, [entry]);
    return entry;
  }

  publishSnapshot(version: number, document: Document): Entry {
    const digest = computeDigest(document);
    const author = 'op';
    return this.publish('snapshot', {version, digest, document, author});
  }

  publishSlots(slots: number, base = this.version): Entry {
    const next = withSlots(base.document, slots);
    return this.publish('patch', makePatch(base, next, 'op'));
  }
}

/** Creates a board that knows other daemons; ids below `x` are in `d1`. */
export function createPeer(id: string, others: readonly string[]): Board {
  const board = createBoard(createRecord(id), createRandom(7), 0);
  handleList(board, others.map(createRecord), 0);
  return board;
}

function createRecord(id: string): MemberRecord {
  const dataCentre = id < 'x' ? 'd1' : 'd2';
  const place = {dataCentre, region: 'r1', service: 's0', host: '127.0.0.1'};
  const ports = {customerPort: 1, peerPort: 2};
  return {id, incarnation: 0, boot: '', ...place, ...ports, state: 'live'};
}

/** Links a board to peers. */
export function link(board: Board, ...peers: string[]): void {
  for (const peer of peers) {
    board.links.set(peer, {peer, dialled: true, upAt: 0, lastReceivedAt: 0});
  }
}
