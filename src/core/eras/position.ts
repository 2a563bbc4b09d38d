/** Place in the history of the store. A later era begins when the store comes back
 * from an older copy; revisions are then given out again. */
export interface StorePosition {
  readonly era: number;
  readonly revision: number;
}

/** Eras as stores and daemons write them. */
const ERA_PATTERN = /^\d{1,15}$/;

/** Parses an era; undefined when absent or malformed. */
export function parseEra(text: unknown): number | undefined {
  return typeof text === 'string' && ERA_PATTERN.test(text)
    ? Number(text)
    : undefined;
}
