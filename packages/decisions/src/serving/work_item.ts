/** Work of one request on one backend server, as entries tell each other. */
export interface WorkItem {
  /** Unique for each request attempt and backend server. */
  readonly workId: string;
  readonly serverId: string;
  /** KV cache that the work takes, in tokens. */
  readonly memoryTokens: number;
  /** Prefill of this work alone, in milliseconds. */
  readonly prefillMs: number;
  /** Longest pause between events that the caller accepts, in milliseconds. */
  readonly pauseMs: number;
  /** Worth of the answer, with a short one as the unit. */
  readonly worth: number;
  /** False for parts of prompts, whose tokens another server generates. */
  readonly decodes: boolean;
}
