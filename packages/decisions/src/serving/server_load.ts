/** Load of one backend server, as far as the gateways know it. */
export interface ServerLoad {
  /** Requests that the server generates tokens for, or will after prefill. */
  readonly running: number;
  /** Prompts, and parts of prompts, whose prefill is not finished. */
  readonly prefilling: number;
  /** Requests whose prefill is finished. */
  readonly decoding: number;
  /** Estimated prefill time that remains, in milliseconds. */
  readonly backlogMs: number;
  /** The same from known work only, without the estimate of unknown work. */
  readonly knownBacklogMs: number;
  /** KV cache that the known work occupies, in tokens. */
  readonly usedKvCacheTokens: number;
  /** One for each running request. */
  readonly streams: readonly {
    /** Longest pause between events that the caller accepts, in ms. */
    readonly pauseMs: number;
    /** Value of the response, relative to that of a short one. */
    readonly worth: number;
    /** Priority level, 0 first; absent from gateways of the former version. */
    readonly level?: number;
    /** True for the stream of a short prompt. */
    readonly isShort?: boolean;
  }[];
  /** Work items that started in the last second. */
  readonly startedRecently: number;
  /** Running requests with short prompts. */
  readonly shortPromptStreams: number;
}
