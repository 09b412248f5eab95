/** Maps text to an unsigned 32-bit integer, the same on every node. */
export type HashFunction = (text: string) => number;
