import type {HashFunction} from '@figfall/decisions';
import xxhash from 'xxhash-wasm';

/** Loads the 32-bit hash function; it must be the same on all nodes. */
export async function loadHash(): Promise<HashFunction> {
  const {h32} = await xxhash();
  return text => h32(text);
}
