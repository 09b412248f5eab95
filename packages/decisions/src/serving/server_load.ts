/** Load of one backend server, as far as the entries know it. */
export interface ServerLoad {
  /** Requests whose tokens the server generates, or will. */
  readonly running: number;
  /** Prompts, and parts of prompts, that are not read to their end yet. */
  readonly prefilling: number;
  /** Requests that are past their prefill. */
  readonly decoding: number;
  /** Milliseconds of prefill that are still ahead. */
  readonly backlogMs: number;
  /** The part of it that known work explains. */
  readonly knownBacklogMs: number;
  /** KV cache in tokens that running work takes. */
  readonly usedKvCacheTokens: number;
  /** Streams that run, or will once their prompts are read. */
  readonly streams: readonly {
    /** Longest pause between events that the caller accepts, in ms. */
    readonly pauseMs: number;
    readonly worth: number;
  }[];
  /** Requests sent in the last second. */
  readonly startedRecently: number;
  /** Streams with short prompts. */
  readonly shortPromptStreams: number;
}
