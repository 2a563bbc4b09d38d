import {
  applyEntries,
  computeDigest,
  createConfigState,
  makePatch,
  type ConfigState,
  type Document,
  type Entry,
  type Version,
} from '../../src/internal.js';

/** Document with two data centres, one service and one route. */
export function exampleDocument(): Document {
  return {
    dataCentres: {
      d1: {region: 'r1', state: 'in'},
      d2: {region: 'r1', state: 'in'},
    },
    services: {
      s1: {
        slots: 4,
        connections: 8,
        dataCentres: ['d1', 'd2'],
        downloadShare: 0.5,
        expectedMs: 50,
      },
    },
    routes: {
      r1: {
        pathPrefix: '/a',
        methods: ['GET'],
        service: 's1',
        idempotent: true,
        priority: 'read',
        timeoutMs: 1_000,
      },
    },
  };
}

/** Copy of a document with another slot count of its service. */
export function withSlots(document: Document, slots: number): Document {
  const copy = structuredClone(document);
  copy.services.s1.slots = slots;
  return copy;
}

/** Stand-in of the configuration service: an append-only series of entries. */
export class Platform {
  entries: Entry[] = [];
  /** The fold over the whole series, against which daemons are compared. */
  readonly reference: ConfigState = createConfigState();
  /** Digest of every version that the whole series accepts. */
  readonly accepted = new Map<number, string>();

  get version(): Version {
    return this.reference.current!;
  }

  publish(kind: string, value: unknown): Entry {
    const prev = this.reference.index;
    const entry = {index: prev + 1, prev, kind, value: structuredClone(value)};
    this.entries.push(entry);
    for (const {version, digest} of applyEntries(this.reference, [entry])
      .accepted) {
      this.accepted.set(version, digest);
    }
    return entry;
  }

  /** Publishes a whole document as the next version or as a given one. */
  publishSnapshot(version: number, document: Document): Entry {
    const digest = computeDigest(document);
    const author = 'op';
    return this.publish('snapshot', {version, digest, document, author});
  }

  publishPatch(base: Version, next: Document): Entry {
    return this.publish('patch', makePatch(base, next, 'op'));
  }

  reply(after: number, upTo = this.reference.index) {
    const entries = this.entries.filter(
      ({index}) => index > after && index <= upTo,
    );
    return {index: upTo, entries: structuredClone(entries)};
  }
}

/** Daemon that watches one key and applies each document as it arrives. */
export interface NaiveDaemon {
  version: number;
  document?: Document;
}

/** Applies a whole document as it arrives, without any check. */
export function applyNaively(
  daemon: NaiveDaemon,
  delivery: {version: number; document: Document},
): void {
  daemon.version = delivery.version;
  daemon.document = delivery.document;
}
