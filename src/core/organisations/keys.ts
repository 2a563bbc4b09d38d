import {createHash} from 'node:crypto';
import type {MeshOrganisation} from '../../types/mesh.js';

/** Organisation of each key by the digest of the key; `shared` for a key of two
 * organisations, as either choice could hand requests to the wrong one. */
export type ApiKeyTable = ReadonlyMap<string, MeshOrganisation | 'shared'>;

/** Why a request has no organisation, in words for operators. */
const FAULT_TEXTS = {
  missing: 'it has no Authorization header',
  repeated: 'it has several Authorization headers',
  otherScheme: 'its Authorization header is no bearer token',
  empty: 'its key is empty',
  unknown: 'no organisation of the version has the key',
  shared: 'two organisations of the version have the key',
} as const;

/** Why a request has no organisation. */
export type ApiKeyFault = keyof typeof FAULT_TEXTS;

/** Words for operators by fault. */
export const KEY_FAULT_TEXTS: ReadonlyMap<string, string> = new Map(
  Object.entries(FAULT_TEXTS),
);

/** Header of answers with status 401. */
export const API_KEY_CHALLENGE = {'www-authenticate': 'Bearer'} as const;

/** Organisation of a request, or why it has none. */
export type ApiKeyResult =
  | {readonly organisation: MeshOrganisation; readonly fault?: undefined}
  | {readonly organisation?: undefined; readonly fault: ApiKeyFault};

/** Indexes the keys of a version; undefined when it does not state organisations. An
 * empty list is a table without keys: removing the last organisation opens no route. */
export function createApiKeyTable(
  organisations: readonly MeshOrganisation[] | undefined,
): ApiKeyTable | undefined {
  if (!organisations) return undefined;
  const table = new Map<string, MeshOrganisation | 'shared'>();
  for (const organisation of organisations) {
    for (const digest of digestKeys(organisation)) {
      const known = table.get(digest);
      const isOwn = known === undefined || isSame(known, organisation);
      table.set(digest, isOwn ? organisation : 'shared');
    }
  }
  return table;
}

function isSame(
  known: MeshOrganisation | 'shared',
  {name}: MeshOrganisation,
): boolean {
  return known !== 'shared' && known.name === name;
}

/** Digests by organisation: most organisations are unchanged between versions, and
 * the adapter keeps the objects of those. */
const knownDigests = new WeakMap<MeshOrganisation, readonly string[]>();

function digestKeys(organisation: MeshOrganisation): readonly string[] {
  const known = knownDigests.get(organisation);
  if (known) return known;
  const digests = organisation.keys.map(key =>
    digestKey(Buffer.from(key, 'utf8')),
  );
  knownDigests.set(organisation, digests);
  return digests;
}

/** The look-up compares digests, so its time says nothing about a key. */
function digestKey(key: Buffer): string {
  return createHash('sha256').update(key).digest('base64');
}

/** Number of keys that two organisations have. */
export function countSharedKeys(table: ApiKeyTable | undefined): number {
  return [...(table?.values() ?? [])].filter(item => item === 'shared').length;
}

/** Scheme in any case and key, which the scheme and spaces precede. */
const BEARER_PATTERN = /^bearer(?: +(.*))?$/is;

/**
 * Finds the organisation of a request. `authorization` holds the values of all
 * its Authorization headers, as read from the socket (latin1).
 */
export function findOrganisation(
  table: ApiKeyTable,
  authorization: readonly string[],
): ApiKeyResult {
  if (authorization.length === 0) return {fault: 'missing'};
  if (authorization.length > 1) return {fault: 'repeated'};
  const match = BEARER_PATTERN.exec(authorization[0]);
  if (!match) return {fault: 'otherScheme'};
  const key = match[1] ?? '';
  if (key === '') return {fault: 'empty'};
  const found = table.get(digestKey(Buffer.from(key, 'latin1')));
  if (found === undefined) return {fault: 'unknown'};
  return found === 'shared' ? {fault: 'shared'} : {organisation: found};
}
