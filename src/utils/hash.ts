const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** 32-bit FNV-1a hash with a final mix; not cryptographic. */
export function hash32(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  // FNV alone leaves the high bits of similar short names correlated.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Computes the rendezvous hashing weight of an id for a key. */
export function computeRendezvousWeight(key: string, id: string): number {
  return hash32(`${key}\u0000${id}`);
}

/** Orders ids by rendezvous weight for a key, heaviest first. */
export function rankByRendezvous(key: string, ids: Iterable<string>): string[] {
  return [...ids]
    .map(id => ({id, weight: computeRendezvousWeight(key, id)}))
    .sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .map(item => item.id);
}
