import type {HashFunction} from '../shared/hash_function.js';

/** Characters of a prompt that decide which replicas keep its prefix. */
const AFFINITY_PREFIX_CHARS = 1_024;

/** Returns the affinity key of a prompt within a workspace and a model. */
export function promptAffinityKey(
  workspace: string,
  model: string,
  prompt: string,
  hash: HashFunction,
): string {
  const prefix = prompt.slice(0, AFFINITY_PREFIX_CHARS);
  return `${model}/${workspace}/${hash(prefix)}`;
}
