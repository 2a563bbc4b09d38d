/** Lists the values of a header, named in lower case, in a list of names and
 * values. */
export function listHeader(raw: readonly string[], name: string): string[] {
  return raw.filter((_, i) => i % 2 === 1 && raw[i - 1].toLowerCase() === name);
}
