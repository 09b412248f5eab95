/** Scheduling class of a request, by the prompt tokens it must prefill. */
export type CallClass = 'short' | 'long';
