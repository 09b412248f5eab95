/** Options and faults of the fake engine; `/control` can change them. */
export interface EngineOptions {
  /** Prompt tokens prefilled per second while warm. */
  prefillRate: number;
  /** Milliseconds between tokens of one sequence while warm. */
  decodeMs: number;
  /** Batch size above which the time between tokens grows in proportion. */
  batchKnee: number;
  /** KV cache in tokens. */
  totalTokens: number;
  /** Limit of running requests while cold; excess is counted, not refused. */
  coldRunning: number;
  /** Minimum duration of a cold start, in milliseconds. */
  coldMs: number;
  /** Minimum number of completed requests that end a cold start. */
  coldCompletions: number;
  /** Factor by which prefill and decoding are slower while cold. */
  coldFactor: number;
  /** Milliseconds between the snapshot of a load report and its response. */
  loadLagMs: number;
  /** Load reports never say that the engine is cold. */
  silentCold: boolean;
  /** Refuses an order whose fencing number is below the highest one seen. */
  checksFencing: boolean;
  /** Milliseconds that loading a model takes after the download. */
  loadModelMs: number;
  /** Milliseconds for which a crashed engine refuses connections. */
  restartMs: number;
  /** While true, the engine makes no progress and holds back responses. */
  frozen: boolean;
  /** Loaded models, as `name@version`. */
  models: string[];
}
