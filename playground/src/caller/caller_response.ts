/** A response as a caller received it. */
export interface CallerResponse {
  /** HTTP status; 0 if no response came. */
  readonly status: number;
  /** Generated text, or the body of a response of a plain service. */
  readonly text: string;
  /** Tokens received; 0 for a plain service. */
  readonly tokens: number;
  /** A stream ended with `[DONE]`, or a plain service responded below 300. */
  readonly complete: boolean;
  /** Kind of the error that the entry reported. */
  readonly errorKind?: string;
  /** Whether the request ran, as the error reports it. */
  readonly ran?: string;
  /** Message of the reported error, or of a connection error. */
  readonly message?: string;
  readonly retryAfterMs?: number;
  /** Milliseconds to the first token. */
  readonly firstTokenMs?: number;
  /** Longest time between two tokens. */
  readonly maxGapMs?: number;
  readonly totalMs: number;
}
