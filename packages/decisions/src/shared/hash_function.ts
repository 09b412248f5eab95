/** Hashes text to an unsigned 32-bit integer; all nodes must agree on it. */
export type HashFunction = (text: string) => number;
