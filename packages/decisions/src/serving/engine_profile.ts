/** What a model engine declares of its size and speed. */
export interface EngineProfile {
  /** Requests that one engine batches. */
  readonly slots: number;
  /** KV cache in tokens. */
  readonly kvCacheTokens: number;
  /** Milliseconds of one decode step with an empty batch. */
  readonly stepMs: number;
  /** Milliseconds that each decoding request adds to a step. */
  readonly stepMsPerSequence: number;
  /** Prompt tokens prefilled in a millisecond. */
  readonly prefillTokensPerMs: number;
  /** Milliseconds of attention for a million pairs of tokens. */
  readonly attentionMsPerMillionPairs: number;
  /** Decode steps of one scheduling pass that has decoding requests. */
  readonly stepsPerPass: number;
}
