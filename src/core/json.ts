/** Largest value of one entry, bytes of JSON; also the platform's limit. */
export const MAX_VALUE_BYTES = 1_048_576;

/**
 * Deepest nesting of a value. Recursion would fail at a depth that depends on
 * the stack in use, so daemons could disagree about the same entry.
 */
const MAX_DEPTH = 32;

/**
 * Largest number of fields and items in a value. A document of 1 MB has about
 * 75,000; the schema check of a malformed value several times that size takes
 * about a second.
 */
const MAX_PARTS = 100_000;

/** Faults reported per check; a malformed value can have one in every field. */
const MAX_FAULTS = 20;

/** Longest reason of a refusal, characters. */
export const MAX_REASON = 500;

/**
 * Keys that are refused in any value. msgpackr renames the first to the second
 * in transit, so a reader and its peers would check different values.
 */
const BANNED_KEYS: readonly string[] = ['__proto__', '__proto_'];

/**
 * Text that changes in transit between daemons: a lone surrogate becomes the
 * replacement character in UTF-8, so both are refused.
 */
const UNSTABLE_TEXT = /\p{Cs}|\ufffd/u;

/** Result of a check: the value, or one line per fault. */
export type Checked<T> = {ok: true; value: T} | {ok: false; faults: string[]};

/** Creates the result of a failed check, with bounded faults. */
export function refuse(faults: string | readonly string[]): {
  ok: false;
  faults: string[];
} {
  const list = typeof faults === 'string' ? [faults] : faults;
  const kept = list.slice(0, MAX_FAULTS);
  return {ok: false, faults: kept.map(fault => fault.slice(0, MAX_REASON))};
}

/** Size of a value as JSON in bytes, or the fault that rules it out. */
export function measureJson(value: unknown): Checked<number> {
  const fault = findJsonFault(value);
  if (fault !== undefined) return refuse(fault);
  const text = JSON.stringify(value);
  return {ok: true, value: Buffer.byteLength(text)};
}

interface Part {
  readonly value: unknown;
  readonly depth: number;
  readonly key: string;
  readonly parent?: Part;
}

function findJsonFault(value: unknown): string | undefined {
  const stack: Part[] = [{value, depth: 0, key: ''}];
  let minBytes = 0;
  let parts = 0;
  for (let part = stack.pop(); part; part = stack.pop()) {
    // Every part and character takes at least a byte. Shared references could
    // make a small object too large to serialise.
    minBytes += typeof part.value === 'string' ? part.value.length : 1;
    if (minBytes > MAX_VALUE_BYTES) return '(root): value is above 1 MB';
    const fault = findPartFault(part);
    if (fault !== undefined) return `${formatLocation(part)}: ${fault}`;
    if (typeof part.value !== 'object' || part.value === null) continue;
    parts += Object.keys(part.value).length;
    if (parts > MAX_PARTS) return `(root): more than ${MAX_PARTS} parts`;
    for (const [key, field] of Object.entries(part.value)) {
      if (field === undefined) continue;
      stack.push({value: field, depth: part.depth + 1, key, parent: part});
    }
  }
  return undefined;
}

function findPartFault({value, depth, key}: Part): string | undefined {
  if (depth > MAX_DEPTH) return `nested deeper than ${MAX_DEPTH}`;
  if (BANNED_KEYS.includes(key)) return 'key is not allowed';
  if (UNSTABLE_TEXT.test(key)) return 'key is not valid Unicode';
  if (typeof value === 'object' && value !== null) {
    return isPlain(value) ? undefined : 'not JSON data';
  }
  if (typeof value === 'string') {
    return UNSTABLE_TEXT.test(value) ? 'not valid Unicode' : undefined;
  }
  return isScalar(value) ? undefined : 'not JSON data';
}

function formatLocation(part: Part): string {
  const path: string[] = [];
  let at = part;
  for (; at.parent; at = at.parent) path.unshift(at.key);
  // The first steps are enough to locate a part that is nested too deeply.
  return formatPointer(path.slice(0, 8));
}

function isPlain(value: object): boolean {
  if (Array.isArray(value)) return true;
  const prototype: unknown = Object.getPrototypeOf(value);
  return prototype === Object.prototype || prototype === null;
}

function isScalar(value: unknown): boolean {
  if (typeof value === 'number') return Number.isFinite(value);
  return value === null || typeof value === 'boolean';
}

/** JSON pointer of a path, as patches use it; `(root)` for the whole value. */
export function formatPointer(path: readonly PropertyKey[]): string {
  const steps = path.map(
    step => `/${String(step).replaceAll('~', '~0').replaceAll('/', '~1')}`,
  );
  return steps.join('') || '(root)';
}
