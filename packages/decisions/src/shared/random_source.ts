/** Returns a random number in the range [0, 1). */
export type RandomSource = () => number;
