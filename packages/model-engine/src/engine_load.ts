/** Load report of a model engine; may lag behind its actual load. */
export interface EngineLoad {
  /** Changes with each start of the engine's process. */
  readonly incarnation: string;
  /** True while the engine is slower than usual, as after a start. */
  readonly cold: boolean;
  /** Number of running requests. */
  readonly running: number;
  /** Capacity of the KV cache in tokens, and the free part of it. */
  readonly totalTokens: number;
  readonly freeTokens: number;
  /** Request ids of the sequences and segments in its memory. */
  readonly held: readonly string[];
  /** Loaded models, as `name@version`. */
  readonly models: readonly string[];
}
