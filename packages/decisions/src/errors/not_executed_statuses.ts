/**
 * HTTP statuses by which callers know that a request has not run and never will,
 * so that they may repeat one that is not idempotent.
 */
export const NOT_EXECUTED_STATUSES: readonly number[] = [408, 421, 429, 503];
