import * as z from 'zod';
import type {StorePosition} from './eras/position.js';
import {applyDelta, createDelta} from './value_delta.js';

/** Value of a key in the platform's store. */
export interface StoreItem {
  readonly key: string;
  readonly value: Buffer;
  /** Revision of the store at the last change of the key. */
  readonly revision: number;
  /** Revision of the store at which the key was created, if it is known. */
  readonly created?: number;
}

/** One change; without a value the key was deleted. */
export interface StoreEvent {
  readonly key: string;
  readonly value?: Buffer;
  readonly revision: number;
  readonly created?: number;
}

/** Size from which a changed value is sent as a delta, bytes. */
const MIN_DELTA_BYTES = 4_096;

/** Earlier values kept of each large key, as bases of deltas. */
const MAX_BASES = 4;

/** True when a value of a key says the same as the one before, for example
 * because only the counter of its heartbeats has changed. */
export type IsUnchanged = (
  key: string,
  before: Buffer,
  after: Buffer,
) => boolean;

/** Copy of the keys with one prefix, as of one revision of the store. */
export interface StoreMirror {
  readonly prefix: string;
  readonly isUnchanged: IsUnchanged;
  /** Era of the store that all revisions here belong to; 0 for a store that
   * states none. */
  era: number;
  /** Position of the copy that one of a later era has replaced last. */
  replaced: StorePosition | undefined;
  /** Undefined until all keys have been read. */
  revision: number | undefined;
  /**
   * Revision of the latest change that other daemons need; -1 before the first
   * read. Heartbeats raise `revision` alone: sending each of them to each
   * daemon would cost the square of the fleet's size.
   */
  contentRevision: number;
  /** Highest revision of an item; above `revision` when a read of several pages,
   * or another daemon after one, has found later changes. */
  newestItemRevision: number;
  readonly items: Map<string, StoreItem>;
  /** Earlier items of keys with large values, oldest first. */
  readonly bases: Map<string, StoreItem[]>;
}

/** A key that may have changed; without a value it was deleted. */
export interface KeyChange {
  readonly key: string;
  readonly value: Buffer | undefined;
}

/** Creates an empty copy. */
export function createMirror(
  prefix: string,
  isUnchanged: IsUnchanged = (_key, before, after) => before.equals(after),
): StoreMirror {
  return {
    prefix,
    isUnchanged,
    era: 0,
    replaced: undefined,
    revision: undefined,
    contentRevision: -1,
    newestItemRevision: -1,
    items: new Map(),
    bases: new Map(),
  };
}

/** Applies the changes up to a revision; only the last one of a key counts. */
export function applyEvents(
  mirror: StoreMirror,
  events: readonly StoreEvent[],
  revision: number,
): KeyChange[] {
  const latest = new Map(events.map(event => [event.key, event]));
  const changes = [...latest.values()].flatMap(event =>
    applyEvent(mirror, event),
  );
  advance(mirror, revision, changes.length > 0);
  return changes;
}

/** Records that the copy is as of a later revision. */
function advance(
  mirror: StoreMirror,
  revision: number,
  changed: boolean,
): void {
  const isFirst = mirror.revision === undefined;
  const before = mirror.revision ?? 0;
  mirror.revision = Math.max(before, revision);
  // Other daemons may have asked at a revision before that of the newest item.
  // They need it once this copy is as late, though it is no change here.
  const hadLaterItems = mirror.newestItemRevision > before;
  if (isFirst || changed || hadLaterItems) {
    mirror.contentRevision = mirror.revision;
  }
}

function applyEvent(mirror: StoreMirror, event: StoreEvent): KeyChange[] {
  const {key, value, revision, created = 0} = event;
  let known = mirror.items.get(key);
  if (known && known.revision >= revision) return [];
  if (known && created > known.revision) {
    // The key was deleted in between. Another daemon may have seen that, and the
    // same value is news to it.
    deleteItem(mirror, key);
    known = undefined;
  }
  if (known && value && mirror.isUnchanged(key, known.value, value)) return [];
  if (value === undefined) deleteItem(mirror, key);
  else mirror.items.set(key, {key, value, revision, created});
  mirror.newestItemRevision = Math.max(mirror.newestItemRevision, revision);
  if (known && value) keepBase(mirror, known);
  return [{key, value}];
}

function deleteItem({items, bases}: StoreMirror, key: string): void {
  items.delete(key);
  bases.delete(key);
}

function keepBase({bases}: StoreMirror, item: StoreItem): void {
  if (item.value.length < MIN_DELTA_BYTES) return;
  const kept = bases.get(item.key) ?? [];
  bases.set(item.key, [...kept, item].slice(-MAX_BASES));
}

/** Applies a read of all keys; keys that it lacks are deleted. One of a later
 * era replaces the copy. */
export function applyFullRead(
  mirror: StoreMirror,
  items: readonly StoreItem[],
  revision: number,
  era = mirror.era,
): KeyChange[] {
  // Another daemon may have sent a newer state during the read.
  if (era < mirror.era) return [];
  if (era > mirror.era) return replaceCopy(mirror, items, {era, revision});
  if (revision < (mirror.revision ?? 0)) return [];
  const present = new Set(items.map(item => item.key));
  const changes = dropMissing(mirror, present, revision);
  return [...changes, ...applyEvents(mirror, items, revision)];
}

/** Replaces the copy by one of a later era, whose revisions can't be compared
 * with those that are known. */
function replaceCopy(
  mirror: StoreMirror,
  items: readonly StoreItem[],
  {era, revision}: StorePosition,
): KeyChange[] {
  const before = new Map(mirror.items);
  if (mirror.revision !== undefined) {
    mirror.replaced = {era: mirror.era, revision: mirror.revision};
  }
  mirror.era = era;
  mirror.revision = revision;
  mirror.contentRevision = revision;
  mirror.newestItemRevision = revision;
  mirror.items.clear();
  mirror.bases.clear();
  for (const item of items) {
    mirror.items.set(item.key, item);
    mirror.newestItemRevision = Math.max(
      mirror.newestItemRevision,
      item.revision,
    );
  }
  const missing = [...before.keys()].filter(key => !mirror.items.has(key));
  const changed = items.filter(({key, value}) => {
    const known = before.get(key);
    return !known || !mirror.isUnchanged(key, known.value, value);
  });
  return [
    ...missing.map(key => ({key, value: undefined})),
    ...changed.map(({key, value}) => ({key, value})),
  ];
}

function dropMissing(
  mirror: StoreMirror,
  present: ReadonlySet<string>,
  revision: number,
): KeyChange[] {
  const missing = [...mirror.items.keys()].filter(key => !present.has(key));
  if (missing.length > 0) advance(mirror, revision, true);
  for (const key of missing) deleteItem(mirror, key);
  return missing.map(key => ({key, value: undefined}));
}

const bytesSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array);

const rangeSchema = z.tuple([z.int().nonnegative(), z.int().nonnegative()]);

/** Schema of the state of a prefix that daemons send each other. */
export const mirrorStateSchema = z.object({
  prefix: z.string(),
  /** Era of the store, unless it is 0. */
  era: z.int().positive().optional(),
  revision: z.number(),
  /** All keys; others were deleted. */
  keys: z.array(z.string()),
  /** Items that changed after the requested revision. */
  items: z.array(
    z.object({
      key: z.string(),
      revision: z.number(),
      /** Revision at which the key was created, if after the requested one: the
       * receiver may have missed that the key was deleted before. */
      created: z.number().optional(),
      /** The value, or parts of it if `base` is set. */
      parts: z.array(z.union([bytesSchema, rangeSchema])),
      /** Revision of the item whose value the ranges refer to. */
      base: z.number().optional(),
    }),
  ),
});

/** State of a prefix that daemons send each other. */
export type MirrorState = z.infer<typeof mirrorStateSchema>;

/** True when the copy has news for a daemon whose copy is as of a position. */
export function hasNews(
  {era, revision, contentRevision}: StoreMirror,
  after: StorePosition,
): boolean {
  if (revision === undefined || after.era > era) return false;
  return after.era < era || contentRevision > after.revision;
}

/** Returns the state since revision `after` of an era, or all of it for an earlier
 * era; undefined if nothing is newer. */
export function readMirror(
  mirror: StoreMirror,
  after: number,
  afterEra = mirror.era,
): MirrorState | undefined {
  const {prefix, era, revision, items} = mirror;
  if (revision === undefined) return undefined;
  if (!hasNews(mirror, {era: afterEra, revision: after})) return undefined;
  const since = afterEra < era ? -1 : after;
  const changed = [...items.values()].filter(item => item.revision > since);
  return {
    prefix,
    ...(era > 0 && {era}),
    revision,
    keys: [...items.keys()],
    items: changed.map(item => encodeItem(mirror, item, since)),
  };
}

function encodeItem(
  {bases}: StoreMirror,
  {key, revision, created = 0, value}: StoreItem,
  after: number,
): MirrorState['items'][number] {
  const head = {key, revision, ...(created > Math.max(0, after) && {created})};
  const base = bases.get(key)?.findLast(item => item.revision <= after);
  if (!base) return {...head, parts: [value]};
  return {...head, parts: createDelta(base.value, value), base: base.revision};
}

/** Records that another daemon knows of no change between the revision of this
 * copy and a later one. */
export function confirmRevision(mirror: StoreMirror, revision: number): void {
  advance(mirror, revision, false);
}

/**
 * Applies the state of another daemon; ignores it when it is not newer. Returns
 * undefined, and changes nothing, when a delta has another base than the known
 * value, or items of a later era are missing: all items must then be requested.
 */
export function applyMirrorState(
  mirror: StoreMirror,
  state: MirrorState,
): KeyChange[] | undefined {
  const {era = 0} = state;
  if (era < mirror.era) return [];
  const isLater = era > mirror.era;
  if (!isLater && state.revision <= (mirror.revision ?? -1)) return [];
  if (isLater && state.items.length < state.keys.length) return undefined;
  const items: StoreItem[] = [];
  for (const {key, revision, created, parts, base} of state.items) {
    const known = isLater ? undefined : mirror.items.get(key);
    if (base !== undefined && known?.revision !== base) return undefined;
    const value = applyDelta(known?.value ?? Buffer.alloc(0), parts);
    items.push({key, revision, created, value});
  }
  if (isLater) return applyFullRead(mirror, items, state.revision, era);
  const changes = dropMissing(mirror, new Set(state.keys), state.revision);
  return [...changes, ...applyEvents(mirror, items, state.revision)];
}
