/** A backend server that prefills a part of a prompt for the primary. */
interface PrefillHelper {
  readonly serverId: string;
  /** KV cache to reserve on the helper, in tokens; 0 if none is needed. */
  readonly reservedTokens: number;
}

/** Backend servers chosen for a prompt. */
export interface PromptPlacement {
  /** The primary: it receives the request and generates the response. */
  readonly serverId: string;
  /** Servers that prefill further parts of the prompt. */
  readonly helpers: readonly PrefillHelper[];
  /** Prefill time on each of the servers, in milliseconds. */
  readonly prefillMs: number;
  /** Predicted time from now until the first event, in milliseconds. */
  readonly firstEventMs: number;
}
