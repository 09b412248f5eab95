/** Largest number of servers that read one prompt. */
export const PARTS_MAX = 16;
