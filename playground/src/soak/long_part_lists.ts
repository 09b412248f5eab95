import {createRandom} from '../random/create_random.js';

/** Numbers of parts that a prompt has of its own, repeated by weight. */
const OWN_PARTS = [0, 0, 0, 0, 20, 60, 300] as const;

/** Added to the seed, so that callers keep what they drew before. */
const SEED_OFFSET = 8_000_003;

/** Draws how many parts prompts have, and where one that crashes servers stands. */
export class LongPartLists {
  private readonly random: () => number;

  constructor(seed: number) {
    this.random = createRandom(seed + SEED_OFFSET);
  }

  /** Adds parts of the prompt's own, and others among them, to its shared ones. */
  extend(
    shared: readonly string[],
    requestId: string,
    others: readonly string[],
  ): readonly string[] {
    const count = OWN_PARTS[this.below(OWN_PARTS.length)] ?? 0;
    const own = Array.from({length: count}, (_, i) => `${requestId}.${i}:1`);
    const all = [...shared, ...own];
    return all.toSpliced(this.below(all.length + 1), 0, ...others);
  }

  private below(limit: number): number {
    return Math.floor(this.random() * limit);
  }
}
