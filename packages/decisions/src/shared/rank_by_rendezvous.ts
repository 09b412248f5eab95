import type {HashFunction} from './hash_function.js';

/**
 * Orders ids by rendezvous hashing (highest random weight) for a key. Adding or
 * removing an id doesn't change the relative order of the others.
 */
export function rankByRendezvous(
  key: string,
  ids: readonly string[],
  hash: HashFunction,
): string[] {
  return ids
    .map(id => ({id, weight: hash(`${key}\u0000${id}`)}))
    .sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .map(({id}) => id);
}
