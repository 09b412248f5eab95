/** Capacity and speed that a model engine declares. */
export interface EngineProfile {
  /** Largest number of requests in a batch. */
  readonly slots: number;
  /** Size of the KV cache, in tokens. */
  readonly kvCacheTokens: number;
  /** Fixed duration of a decode step, in milliseconds. */
  readonly stepMs: number;
  /** Milliseconds that each decoding request adds to a decode step. */
  readonly stepMsPerSequence: number;
  /** Prompt tokens prefilled per millisecond, without attention. */
  readonly prefillTokensPerMs: number;
  /** Attention time for a million pairs of prompt tokens, in milliseconds. */
  readonly attentionMsPerMillionPairs: number;
  /** Decode steps per scheduling pass, if any request is decoding. */
  readonly stepsPerPass: number;
}
