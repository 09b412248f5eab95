/** How a model engine of the emulator works, as its figures are published. */
export interface SimulatedEngine {
  /** Requests that write at once. */
  readonly slots: number;
  readonly stepMs: number;
  readonly stepMsPerSequence: number;
  readonly prefillTokensPerMs: number;
  readonly attentionMsPerMillionPairs: number;
  /** Steps of a scheduling pass with writers. */
  readonly stepsPerPass: number;
  /** Prompt tokens read in one step at the most. */
  readonly chunkTokens: number;
  readonly kvCacheTokens: number;
}
