/** Milliseconds within which callers of a soak run want their answer. */
export const CALLER_TIMEOUT_MS = 5_000;
