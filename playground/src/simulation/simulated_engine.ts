/** Performance parameters of a simulated model engine. */
export interface SimulatedEngine {
  /** Sequences decoded concurrently. */
  readonly slots: number;
  /** Time of a decode step, without the share of each sequence. */
  readonly stepMs: number;
  /** Time that each sequence adds to a decode step. */
  readonly stepMsPerSequence: number;
  readonly prefillTokensPerMs: number;
  /** Attention time per million token pairs of a prompt. */
  readonly attentionMsPerMillionPairs: number;
  /** Decode steps in a scheduling pass. */
  readonly stepsPerPass: number;
  /** Maximum number of prompt tokens prefilled in one step. */
  readonly chunkTokens: number;
  readonly kvCacheTokens: number;
}
