/** Returns a number from 0 (included) to 1 (excluded). */
export type RandomSource = () => number;
