/** Characters of a prompt, from `from` up to `to`. */
interface PromptPart {
  readonly from: number;
  readonly to: number;
}

/**
 * Cuts a prompt into parts in proportion to weights, at multiples of a block,
 * so that engines can share the cache of whole blocks.
 */
export function splitPrompt(
  chars: number,
  weights: readonly number[],
  blockChars: number,
): PromptPart[] {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const ends = weights.map((_, i) => {
    if (i === weights.length - 1) return chars;
    const before = weights
      .slice(0, i + 1)
      .reduce((sum, weight) => sum + weight, 0);
    const exact = (chars * before) / total;
    return Math.floor(exact / blockChars) * blockChars;
  });
  return ends.map((to, i) => ({from: i === 0 ? 0 : ends[i - 1], to}));
}
