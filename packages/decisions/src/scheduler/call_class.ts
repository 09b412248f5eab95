/**
 * Scheduling class of a call, chosen by the entry from the number of prompt
 * tokens to prefill. `uniform` is for baseline policies that ignore length.
 */
export type CallClass = 'short' | 'long' | 'uniform';
