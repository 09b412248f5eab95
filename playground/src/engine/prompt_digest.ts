import {createHash} from 'node:crypto';

const BLOCK_CHARS = 4_096;

function hash32(text: string, seed = 0): number {
  const hash = createHash('sha1').update(`${seed}/`).update(text);
  return hash.digest().readUInt32BE(0);
}

/** A running digest of a prompt; segments continue each other's digest. */
export const promptDigest = {
  BLOCK_CHARS,

  /** Digests after each block of the text, from a digest to start from. */
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

  /** Text of one token of the answer to a prompt. */
  tokenText(digest: number, index: number): string {
    const word = hash32(`${digest}/${index}`) % 100_000;
    return ` w${word}`;
  },
};
