import {
  PRIORITIES,
  type Document,
  type OrganisationConfig,
  type Priority,
} from '../../types/document.js';
import type {MeshOrganisation} from '../../types/mesh.js';
import {createApiKeyTable, type ApiKeyTable} from './keys.js';

/** Faults of organisations beyond their schema. Keys are named by their place:
 * faults are logged and sent to other daemons. */
export function findOrganisationFaults(
  organisations: Readonly<Record<string, OrganisationConfig>>,
): string[] {
  const faults: string[] = [];
  const holders = new Map<string, string>();
  for (const [name, {keys, ratePerS, burst}] of Object.entries(organisations)) {
    const path = `/organisations/${name}`;
    if (ratePerS !== undefined && burst === undefined) {
      faults.push(`${path}/burst: missing beside a rate`);
    }
    keys.forEach((key, i) => {
      const holder = holders.get(key);
      if (holder === undefined) holders.set(key, name);
      else faults.push(`${path}/keys/${i}: is also a key of ${holder}`);
    });
  }
  return faults;
}

/** Tables by document, which is frozen once it is part of a version. */
const tables = new WeakMap<Document, {readonly keys?: ApiKeyTable}>();

/** Returns the key table of a document; undefined when requests need no keys. */
export function getApiKeys(document: Document): ApiKeyTable | undefined {
  let table = tables.get(document);
  if (!table) {
    table = {keys: createApiKeyTable(listOrganisations(document))};
    tables.set(document, table);
  }
  return table.keys;
}

function listOrganisations({
  organisations,
}: Document): MeshOrganisation[] | undefined {
  if (!organisations) return undefined;
  return Object.entries(organisations).map(([name, config]) => {
    const {keys, priority, ratePerS = 0, burst = 0} = config;
    const rank = priority && PRIORITIES.indexOf(priority);
    return {name, keys: [...keys], rank, ratePerS, burst};
  });
}

/** Priority of a request: that of the organisation, else of the route. */
export function selectPriority(
  organisation: MeshOrganisation | undefined,
  priority: Priority,
): Priority {
  return PRIORITIES[organisation?.rank ?? -1] ?? priority;
}
