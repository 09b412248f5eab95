/** A bounded set of prompt blocks, least recently used first to go. */
export function createPrefixCache(maxBlocks: number) {
  const blocks = new Set<number>();
  return {
    /** Number of leading blocks that are in the cache. */
    leading: (chain: readonly number[]): number => {
      const miss = chain.findIndex(block => !blocks.has(block));
      return miss < 0 ? chain.length : miss;
    },
    add: (chain: readonly number[]): void => {
      chain.forEach(block => {
        blocks.delete(block);
        blocks.add(block);
      });
      const excess = blocks.size - maxBlocks;
      if (excess <= 0) return;
      [...blocks].slice(0, excess).forEach(block => blocks.delete(block));
    },
    clear: () => blocks.clear(),
    size: () => blocks.size,
  };
}
