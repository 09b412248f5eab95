/** Largest number of servers that read one prompt. */
export const PREFILL_SERVERS_MAX = 16;
