/** Milliseconds after which a server that drains or leaves gets no requests. */
export const DRAIN_LIMIT_MS = 2_000;
