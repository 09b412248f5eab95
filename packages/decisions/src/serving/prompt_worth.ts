/** Prompt tokens that are worth one more short answer. */
const WORTH_TOKENS = 8_000;

/** Worth of a short answer apart from its prompt's length. */
const BASE_WORTH = 0.5;

/** Worth to a caller of the answer to a prompt, with a short one as the unit. */
export function promptWorth(promptTokens: number): number {
  return BASE_WORTH + promptTokens / WORTH_TOKENS;
}
