import type {HashFunction} from '../shared/hash_function.js';

const FNV_PRIME = 16_777_619;
const FNV_OFFSET = 2_166_136_261;

/** 32-bit FNV-1a hash for tests. */
export const testHash: HashFunction = text =>
  [...text].reduce(
    (hash, char) => Math.imul(hash ^ char.charCodeAt(0), FNV_PRIME) >>> 0,
    FNV_OFFSET,
  );
