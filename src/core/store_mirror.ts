import {z} from 'zod';

/** Value of a key in the platform's store. */
export interface StoreItem {
  readonly key: string;
  readonly value: Buffer;
  /** Revision of the store at the last change of the key. */
  readonly revision: number;
}

/** One change; without a value the key was deleted. */
export interface StoreEvent {
  readonly key: string;
  readonly value?: Buffer;
  readonly revision: number;
}

/** Copy of the keys with one prefix, as of one revision of the store. */
export interface StoreMirror {
  readonly prefix: string;
  /** Undefined until all keys have been read. */
  revision: number | undefined;
  readonly items: Map<string, StoreItem>;
}

/** A key that may have changed; without a value it was deleted. */
export interface KeyChange {
  readonly key: string;
  readonly value: Buffer | undefined;
}

/** Creates an empty copy. */
export function createMirror(prefix: string): StoreMirror {
  return {prefix, revision: undefined, items: new Map()};
}

/** Applies the changes up to a revision; only the last one of a key counts. */
export function applyEvents(
  mirror: StoreMirror,
  events: readonly StoreEvent[],
  revision: number,
): KeyChange[] {
  mirror.revision = Math.max(mirror.revision ?? 0, revision);
  const latest = new Map(events.map(event => [event.key, event]));
  return [...latest.values()].flatMap(event => applyEvent(mirror, event));
}

function applyEvent(mirror: StoreMirror, event: StoreEvent): KeyChange[] {
  const {key, value, revision} = event;
  const known = mirror.items.get(key);
  if (known && known.revision >= revision) return [];
  if (value === undefined) mirror.items.delete(key);
  else mirror.items.set(key, {key, value, revision});
  return [{key, value}];
}

/** Applies a read of all keys; keys that it lacks are deleted. */
export function applyFullRead(
  mirror: StoreMirror,
  items: readonly StoreItem[],
  revision: number,
): KeyChange[] {
  // Another daemon may have sent a newer state during the read.
  if (revision < (mirror.revision ?? 0)) return [];
  const present = new Set(items.map(item => item.key));
  const changes = dropMissing(mirror, present);
  return [...changes, ...applyEvents(mirror, items, revision)];
}

function dropMissing(
  mirror: StoreMirror,
  present: ReadonlySet<string>,
): KeyChange[] {
  const missing = [...mirror.items.keys()].filter(key => !present.has(key));
  for (const key of missing) mirror.items.delete(key);
  return missing.map(key => ({key, value: undefined}));
}

/** Schema of the state of a prefix that daemons send each other. */
export const mirrorStateSchema = z.object({
  prefix: z.string(),
  revision: z.number(),
  /** All keys; others were deleted. */
  keys: z.array(z.string()),
  /** Items that changed after the requested revision. */
  items: z.array(
    z.object({
      key: z.string(),
      value: z.custom<Buffer>(value => value instanceof Uint8Array),
      revision: z.number(),
    }),
  ),
});

/** State of a prefix that daemons send each other. */
export type MirrorState = z.infer<typeof mirrorStateSchema>;

/** Returns the state since revision `after`; undefined if nothing is newer. */
export function readMirror(
  mirror: StoreMirror,
  after: number,
): MirrorState | undefined {
  const {prefix, revision, items} = mirror;
  if (revision === undefined || revision <= after) return undefined;
  const changed = [...items.values()].filter(item => item.revision > after);
  return {prefix, revision, keys: [...items.keys()], items: changed};
}

/** Applies the state of another daemon; ignores it when it is not newer. */
export function applyMirrorState(
  mirror: StoreMirror,
  state: MirrorState,
): KeyChange[] {
  if (state.revision <= (mirror.revision ?? -1)) return [];
  const changes = dropMissing(mirror, new Set(state.keys));
  const items = state.items.map(item => {
    return {...item, value: Buffer.from(item.value)};
  });
  return [...changes, ...applyEvents(mirror, items, state.revision)];
}
