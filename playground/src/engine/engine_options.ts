/** Options and faults of the stand-in model engine; all can be changed. */
export interface EngineOptions {
  /** Prompt tokens prefilled a second while warm. */
  prefillRate: number;
  /** Milliseconds between tokens of one sequence while warm. */
  decodeMs: number;
  /** Sequences beyond which tokens come slower. */
  batchKnee: number;
  /** Memory in tokens. */
  totalTokens: number;
  /** Requests that the engine bears while it is cold. */
  coldRunning: number;
  /** Milliseconds and completions that end a cold start. */
  coldMs: number;
  coldCompletions: number;
  /** Factor by which a cold engine is slower. */
  coldFactor: number;
  /** Milliseconds by which load reports lag. */
  loadLagMs: number;
  /** Cold without saying so in load reports. */
  silentCold: boolean;
  /** Refuses orders with an old fencing number. */
  checksFencing: boolean;
  /** Milliseconds that loading a model takes. */
  loadModelMs: number;
  /** Milliseconds for which a crashed engine refuses connections. */
  restartMs: number;
  /** Stops all work and answers while true. */
  frozen: boolean;
  models: string[];
}
