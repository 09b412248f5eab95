/** Creates a set of at most `maxBlocks` digests, evicted in LRU order. */
export function createPrefixCache(maxBlocks: number) {
  const cached = new Set<number>();
  return {
    /** Returns the number of leading blocks that are cached. */
    countLeading: (digests: readonly number[]): number => {
      const firstMiss = digests.findIndex(digest => !cached.has(digest));
      return firstMiss < 0 ? digests.length : firstMiss;
    },
    /** Adds blocks, or marks them as recently used. */
    add: (digests: readonly number[]): void => {
      digests.forEach(digest => {
        cached.delete(digest);
        cached.add(digest);
      });
      const excess = cached.size - maxBlocks;
      if (excess <= 0) return;
      [...cached].slice(0, excess).forEach(digest => cached.delete(digest));
    },
    clear: () => cached.clear(),
    size: () => cached.size,
  };
}
