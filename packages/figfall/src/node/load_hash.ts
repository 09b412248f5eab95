import type {HashFunction} from '@figfall/decisions';
import xxhash from 'xxhash-wasm';

/** Loads the hash function that all nodes share. */
export async function loadHash(): Promise<HashFunction> {
  const {h32} = await xxhash();
  return text => h32(text);
}
