import type {HashFunction} from '../shared/hash_function.js';

/** Length of the prompt prefix, in characters, that the key is made of. */
const AFFINITY_PREFIX_CHARS = 1_024;

/**
 * Returns the affinity key of a prompt. Prompts of a workspace and model with
 * the same prefix share a key, and so prefer agents whose engines cache it.
 */
export function promptAffinityKey(
  workspace: string,
  model: string,
  prompt: string,
  hash: HashFunction,
): string {
  const prefix = prompt.slice(0, AFFINITY_PREFIX_CHARS);
  return `${model}/${workspace}/${hash(prefix)}`;
}
