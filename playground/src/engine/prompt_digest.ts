import {createHash} from 'node:crypto';

const BLOCK_CHARS = 4_096;

function hash32(text: string, seed = 0): number {
  const hash = createHash('sha1').update(`${seed}/`).update(text);
  return hash.digest().readUInt32BE(0);
}

/** Digests of prompts. A segment continues the digest of the one before it. */
export const promptDigest = {
  /** Characters per block of the prefix cache. */
  BLOCK_CHARS,

  /** Returns the digest after each block of the text, starting from `start`. */
  blockDigests(text: string, start: number): number[] {
    const count = Math.ceil(text.length / BLOCK_CHARS);
    const digests: number[] = [];
    let digest = start;
    for (let i = 0; i < count; i++) {
      const block = text.slice(i * BLOCK_CHARS, (i + 1) * BLOCK_CHARS);
      digest = hash32(block, digest);
      digests.push(digest);
    }
    return digests;
  },

  /** Returns the text of one output token; depends only on the arguments. */
  tokenText(digest: number, index: number): string {
    const word = hash32(`${digest}/${index}`) % 100_000;
    return ` w${word}`;
  },
};
