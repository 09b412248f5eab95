/** A part of a prompt that a backend server prefills for another. */
interface PrefillHelper {
  readonly serverId: string;
  /** KV cache to reserve there; 0 where none is needed. */
  readonly reserveTokens: number;
}

/** Backend servers for one prompt. */
export interface PromptPlacement {
  /** Server that gets the request and generates the answer. */
  readonly serverId: string;
  /** Other servers that prefill parts of the prompt. */
  readonly helpers: readonly PrefillHelper[];
  /** Prefill on each of the servers, in milliseconds. */
  readonly prefillMs: number;
  /** Predicted time until the first event, in milliseconds. */
  readonly firstEventMs: number;
}
