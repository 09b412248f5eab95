/** What a model engine reports of itself, with a lag. */
export interface EngineLoad {
  /** Changes each time the engine's process starts. */
  readonly incarnation: string;
  readonly cold: boolean;
  readonly running: number;
  readonly totalTokens: number;
  readonly freeTokens: number;
  /** Identifiers of sequences and segments in its memory. */
  readonly held: readonly string[];
  /** Loaded models, as name@version. */
  readonly models: readonly string[];
}
