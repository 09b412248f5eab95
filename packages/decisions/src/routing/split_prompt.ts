/** Range of prompt characters; `from` is included, `to` is not. */
interface PromptPart {
  readonly from: number;
  readonly to: number;
}

/**
 * Splits a prompt of `chars` characters into parts in proportion to `weights`,
 * at multiples of `blockChars`, because engines share only whole cache blocks.
 */
export function splitPrompt(
  chars: number,
  weights: readonly number[],
  blockChars: number,
): PromptPart[] {
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
  const ends = weights.map((_, i) => {
    if (i === weights.length - 1) return chars;
    const weightSoFar = weights
      .slice(0, i + 1)
      .reduce((sum, weight) => sum + weight, 0);
    const exactEnd = (chars * weightSoFar) / totalWeight;
    return Math.floor(exactEnd / blockChars) * blockChars;
  });
  return ends.map((to, i) => ({from: i === 0 ? 0 : ends[i - 1], to}));
}
