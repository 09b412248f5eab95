/**
 * Scheduling class of a request, by the prompt tokens it must prefill.
 * `uniform` is for baselines that do not look at lengths.
 */
export type CallClass = 'short' | 'long' | 'uniform';
