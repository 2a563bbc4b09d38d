import fastJsonPatch from 'fast-json-patch';
import type {z} from 'zod';
import {
  documentSchema,
  patchSchema,
  snapshotSchema,
  type Document,
  type Entry,
  type Patch,
  type Version,
} from '../types/document.js';
import {BerylbendError} from '../types/errors.js';
import {computeDigest} from '../utils/digest.js';
import {findOrganisationFaults} from './organisations/document.js';
import {
  formatPointer,
  MAX_VALUE_BYTES,
  measureJson,
  refuse,
  type Checked,
} from './json.js';

/**
 * Maximum size of a document, bytes of JSON. Patches could otherwise grow it
 * beyond one snapshot entry; this leaves room for the snapshot's other fields.
 */
export const MAX_DOCUMENT_BYTES = 1_000_000;

const {applyOperation, getValueByPointer} = fastJsonPatch;

/** Validates a document: schema first, then names, references and routes. */
export function checkDocument(value: unknown): Checked<Document> {
  const size = measureJson(value);
  if (!size.ok) return size;
  if (size.value > MAX_DOCUMENT_BYTES) {
    return refuse(`(root): ${size.value} bytes of JSON are over the limit`);
  }
  const parsed = documentSchema.safeParse(value);
  if (!parsed.success) return refuse(formatIssues(parsed.error));
  const faults = findConsistencyFaults(parsed.data);
  if (faults.length > 0) return refuse(faults);
  return {ok: true, value: parsed.data};
}

function formatIssues(error: z.ZodError): string[] {
  return error.issues.map(
    issue => `${formatPointer(issue.path)}: ${issue.message}`,
  );
}

function findConsistencyFaults(document: Document): string[] {
  return [
    ...findReservedNames(document),
    ...findServiceFaults(document),
    ...findRouteFaults(document),
    ...findDuplicateRoutes(document),
    ...findOrganisationFaults(document.organisations ?? {}),
  ];
}

/** Rejects names such as `constructor`, which a lookup finds on any object. */
function findReservedNames(document: Document): string[] {
  return Object.entries(document).flatMap(([map, items]) =>
    Object.keys(items)
      .filter(isReserved)
      .map(name => `/${map}/${name}: name is reserved`),
  );
}

function isReserved(name: string): boolean {
  return name in Object.prototype || name === 'prototype';
}

function findServiceFaults(document: Document): string[] {
  return Object.entries(document.services).flatMap(([name, service]) =>
    service.dataCentres.flatMap((dataCentre, i) =>
      Object.hasOwn(document.dataCentres, dataCentre)
        ? []
        : [`/services/${name}/dataCentres/${i}: no data centre ${dataCentre}`],
    ),
  );
}

function findRouteFaults(document: Document): string[] {
  const faults: string[] = [];
  for (const [name, route] of Object.entries(document.routes)) {
    // Request paths are ASCII on the wire, so other prefixes would never match.
    if (!/^[\x21-\x7e]*$/.test(route.pathPrefix)) {
      faults.push(`/routes/${name}/pathPrefix: only printable ASCII`);
    }
    if (!Object.hasOwn(document.services, route.service)) {
      faults.push(`/routes/${name}/service: no service ${route.service}`);
    } else if (!isServed(document, route.service)) {
      faults.push(
        `/routes/${name}/service: every data centre of ${route.service} is out`,
      );
    }
  }
  return faults;
}

function isServed(document: Document, service: string): boolean {
  return document.services[service].dataCentres.some(
    name =>
      Object.hasOwn(document.dataCentres, name) &&
      document.dataCentres[name].state === 'in',
  );
}

function findDuplicateRoutes(document: Document): string[] {
  const faults: string[] = [];
  const routeByPair = new Map<string, string>();
  for (const [name, route] of Object.entries(document.routes)) {
    route.methods.forEach((method, i) => {
      const pair = `${method} ${route.pathPrefix}`;
      const first = routeByPair.get(pair);
      if (first === undefined) routeByPair.set(pair, name);
      else faults.push(`/routes/${name}/methods/${i}: ${pair} is in ${first}`);
    });
  }
  return faults;
}

/** Validates an entry against the version that precedes it. */
export function checkEntry(
  current: Version | undefined,
  entry: Entry,
): Checked<Version> {
  const size = measureJson(entry.value);
  if (!size.ok) return size;
  if (size.value > MAX_VALUE_BYTES) {
    return refuse('(root): value is above 1 MB');
  }
  if (entry.kind === 'snapshot') return checkSnapshot(current, entry);
  if (entry.kind === 'patch') return checkPatchEntry(current, entry);
  return refuse(`unknown kind ${entry.kind}`);
}

function checkSnapshot(
  current: Version | undefined,
  entry: Entry,
): Checked<Version> {
  const parsed = snapshotSchema.safeParse(entry.value);
  if (!parsed.success) return refuse(formatIssues(parsed.error));
  const {version, digest} = parsed.data;
  if (current && version === current.version && digest === current.digest) {
    return {ok: true, value: current};
  }
  if (current && version <= current.version) {
    return refuse(`version ${version} is not above ${current.version}`);
  }
  const checked = checkDocument(parsed.data.document);
  if (!checked.ok) return checked;
  const computed = computeDigest(checked.value);
  if (computed !== digest) {
    return refuse(`digest does not match the document, expected ${computed}`);
  }
  return {ok: true, value: createVersion(version, entry.index, checked.value)};
}

function checkPatchEntry(
  current: Version | undefined,
  entry: Entry,
): Checked<Version> {
  const parsed = patchSchema.safeParse(entry.value);
  if (!parsed.success) return refuse(formatIssues(parsed.error));
  const {base, baseDigest, ops} = parsed.data;
  if (!current || base !== current.version) {
    return refuse(`base ${base} is not version ${current?.version ?? 0}`);
  }
  if (baseDigest !== current.digest) {
    return refuse(`base digest differs from that of version ${base}`);
  }
  const faults = findOperationFaults(ops);
  if (faults.length > 0) return refuse(faults);
  const patched = applyOperations(current.document, ops);
  if (!patched.ok) return patched;
  const checked = checkDocument(patched.value);
  if (!checked.ok) return checked;
  return {ok: true, value: createVersion(base + 1, entry.index, checked.value)};
}

/** Creates a deeply frozen version and computes the document's digest. */
export function createVersion(
  version: number,
  index: number,
  document: Document,
): Version {
  const digest = computeDigest(document);
  return Object.freeze({version, digest, index, document: freeze(document)});
}

function freeze<T extends object>(value: T): T {
  for (const field of Object.values(value)) {
    if (typeof field === 'object' && field !== null) freeze(field as object);
  }
  return Object.freeze(value);
}

function findOperationFaults(ops: Patch['ops']): string[] {
  return ops.flatMap((op, i) => {
    const at = `/ops/${i}`;
    const faults = findPointerFaults(`${at}/path`, op.path);
    if (op.op === 'move' || op.op === 'copy') {
      faults.push(...findPointerFaults(`${at}/from`, op.from));
    } else if (op.op !== 'remove' && op.value === undefined) {
      faults.push(`${at}/value: missing`);
    }
    return faults;
  });
}

function findPointerFaults(location: string, pointer: unknown): string[] {
  if (typeof pointer !== 'string') return [`${location}: missing`];
  if (!/^(\/([^~/]|~[01])*)*$/.test(pointer)) {
    return [`${location}: not a JSON pointer`];
  }
  const steps = pointer.split('/').slice(1);
  const reserved = steps.find(isReserved);
  return reserved === undefined ? [] : [`${location}: ${reserved} is reserved`];
}

function applyOperations(
  document: Document,
  ops: Patch['ops'],
): Checked<unknown> {
  let index = 0;
  try {
    let root: unknown = structuredClone(document);
    let copiedBytes = 0;
    // The library inserts operation values by reference, and later operations
    // modify them. Cloning keeps the entry to relay as it was published.
    for (const op of structuredClone(ops)) {
      copiedBytes += measureCopy(root, op);
      if (copiedBytes > MAX_DOCUMENT_BYTES) {
        return refuse(`/ops/${index}: copies are above the limit`);
      }
      const operation = op as unknown as fastJsonPatch.Operation;
      root = applyOperation(root, operation, true, true, true, index)
        .newDocument as unknown;
      index++;
    }
    return {ok: true, value: root};
  } catch (err) {
    const name = err instanceof Error ? err.name : 'error';
    return refuse(`/ops/${index}: does not apply, ${name}`);
  }
}

/**
 * Returns how many bytes an operation copies within the document. A few dozen
 * copies of a subtree into itself would exhaust the memory of every daemon.
 */
function measureCopy(root: unknown, op: Patch['ops'][number]): number {
  if (op.op !== 'copy') return 0;
  const value: unknown = getValueByPointer(root, op.from as string);
  if (value === undefined) return 0;
  const size = measureJson(value);
  return size.ok ? size.value : Infinity;
}

/**
 * Creates the patch from a version to a new document. Throws a `BerylbendError`
 * if the document is invalid, unchanged, or the patch would be refused.
 */
export function makePatch(
  current: Version,
  nextDocument: unknown,
  author: string,
  note = '',
): Patch {
  const checked = checkDocument(nextDocument);
  if (!checked.ok) throw new BerylbendError('badDocument', checked.faults);
  const ops = fastJsonPatch.compare(current.document, checked.value);
  if (ops.length === 0) throw new BerylbendError('badPatch', ['no changes']);
  const {version: base, digest: baseDigest} = current;
  const copy = structuredClone(ops) as unknown as Patch['ops'];
  const patch = {base, baseDigest, ops: copy, author, note};
  const patchCheck = checkPatch(current, patch);
  if (!patchCheck.ok) throw new BerylbendError('badPatch', patchCheck.faults);
  return patch;
}

/** Validates a patch before it is published; the result has index 0. */
export function checkPatch(
  current: Version | undefined,
  value: unknown,
): Checked<Version> {
  return checkEntry(current, {index: 0, prev: 0, kind: 'patch', value});
}
