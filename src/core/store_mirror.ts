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
  /** Undefined until the keys have been read whole. */
  revision: number | undefined;
  readonly items: Map<string, StoreItem>;
}

/** A key whose meaning may have changed; without a value it is gone. */
export interface KeyChange {
  readonly key: string;
  readonly value: Buffer | undefined;
}

/** Creates an empty copy. */
export function createMirror(prefix: string): StoreMirror {
  return {prefix, revision: undefined, items: new Map()};
}

/** Takes in the changes up to a revision; only the newest of a key counts. */
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

/** Takes in a whole read; keys that it lacks are gone. */
export function applyFullRead(
  mirror: StoreMirror,
  items: readonly StoreItem[],
  revision: number,
): KeyChange[] {
  // Another daemon may have told something newer while the read was on its way.
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

/** Schema of what one daemon tells another of a prefix. */
export const mirrorStateSchema = z.object({
  prefix: z.string(),
  revision: z.number(),
  /** All keys; others are gone. */
  keys: z.array(z.string()),
  /** Items that changed after the revision that was asked for. */
  items: z.array(
    z.object({
      key: z.string(),
      value: z.custom<Buffer>(value => value instanceof Uint8Array),
      revision: z.number(),
    }),
  ),
});

/** What one daemon tells another of a prefix. */
export type MirrorState = z.infer<typeof mirrorStateSchema>;

/** State for a daemon that knows `after`; undefined when it has no more. */
export function readMirror(
  mirror: StoreMirror,
  after: number,
): MirrorState | undefined {
  const {prefix, revision, items} = mirror;
  if (revision === undefined || revision <= after) return undefined;
  const changed = [...items.values()].filter(item => item.revision > after);
  return {prefix, revision, keys: [...items.keys()], items: changed};
}

/** Takes in what another daemon knows; nothing when it is not newer. */
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
