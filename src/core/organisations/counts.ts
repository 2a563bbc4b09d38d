import type {MeshOrganisation} from '../../types/mesh.js';

/** Organisations with counts of their own on the metrics page. */
export const MAX_SHOWN_ORGANISATIONS = 20;

/** Ended requests by result. */
export type ResultCounts = ReadonlyMap<string, number>;

/** Ended requests of organisations, by name and result. */
export interface OrganisationCounts {
  readonly byName: Map<string, Map<string, number>>;
  /** Those of organisations that no configuration in force has any more. */
  readonly former: Map<string, number>;
}

/** Creates empty counts. */
export function createOrganisationCounts(): OrganisationCounts {
  return {byName: new Map(), former: new Map()};
}

/** Counts the end of a request of an organisation. */
export function countOrganisationEnd(
  counts: OrganisationCounts,
  name: string,
  result: string,
): void {
  const results = counts.byName.get(name) ?? new Map<string, number>();
  counts.byName.set(name, results);
  results.set(result, (results.get(result) ?? 0) + 1);
}

/** Keeps counts by name only for the organisations of a new version, so that names
 * that come and go use no more and more memory. */
export function pruneOrganisationCounts(
  counts: OrganisationCounts,
  organisations: readonly MeshOrganisation[],
): void {
  const names = new Set(organisations.map(({name}) => name));
  for (const [name, results] of counts.byName) {
    if (names.has(name)) continue;
    addCounts(counts.former, results);
    counts.byName.delete(name);
  }
}

/** Counts of the organisations with most requests, and of all others together. */
export function listLargestCounts({byName, former}: OrganisationCounts): {
  largest: Array<{name: string; results: ResultCounts}>;
  rest: ResultCounts;
} {
  const all = [...byName].map(([name, results]) => {
    const total = [...results.values()].reduce((sum, n) => sum + n, 0);
    return {name, results, total};
  });
  all.sort((a, b) => b.total - a.total || (a.name < b.name ? -1 : 1));
  const rest = new Map(former);
  for (const {results} of all.slice(MAX_SHOWN_ORGANISATIONS)) {
    addCounts(rest, results);
  }
  const largest = all.slice(0, MAX_SHOWN_ORGANISATIONS);
  return {
    largest: largest.map(({name, results}) => ({name, results})),
    rest,
  };
}

function addCounts(sums: Map<string, number>, counts: ResultCounts): void {
  for (const [result, n] of counts) {
    sums.set(result, (sums.get(result) ?? 0) + n);
  }
}
