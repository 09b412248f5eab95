import type {HashFunction} from '../shared/hash_function.js';

/** Returns the index, from 0, of the shard that holds the claim of a key. */
export function keyShard(
  workspace: string,
  key: string,
  shards: number,
  hash: HashFunction,
): number {
  return hash(`${workspace}/${key}`) % shards;
}
