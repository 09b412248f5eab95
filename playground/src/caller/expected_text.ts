import {promptDigest} from '../engine/prompt_digest.js';

/** Returns the first tokens that a fake engine generates for a prompt. */
export function expectedText(prompt: string, tokens: number): string {
  const digest = promptDigest.blockDigests(prompt, 0).at(-1) ?? 0;
  return Array.from({length: tokens}, (_, i) =>
    promptDigest.tokenText(digest, i),
  ).join('');
}
