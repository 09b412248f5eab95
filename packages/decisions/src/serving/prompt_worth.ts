/** Prompt tokens that add the value of one short response. */
const TOKENS_PER_WORTH = 8_000;

/** Value of any response, whatever the length of its prompt. */
const BASE_WORTH = 0.5;

/** Value of the response to a prompt, relative to that of a short response. */
export function promptWorth(promptTokens: number): number {
  return BASE_WORTH + promptTokens / TOKENS_PER_WORTH;
}
