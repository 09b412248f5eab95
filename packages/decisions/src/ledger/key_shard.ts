import type {HashFunction} from '../shared/hash_function.js';

/** Returns the shard, from 0, that holds the claims of a key. */
export function keyShard(
  workspace: string,
  key: string,
  shards: number,
  hash: HashFunction,
): number {
  return hash(`${workspace}/${key}`) % shards;
}
