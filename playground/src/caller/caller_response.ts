/** What a caller received. */
export interface CallerResponse {
  readonly status: number;
  /** Generated text, or the body of a plain service. */
  readonly text: string;
  readonly tokens: number;
  /** True where the answer ended with its end marker. */
  readonly complete: boolean;
  readonly errorKind?: string;
  readonly ran?: string;
  readonly message?: string;
  readonly retryAfterMs?: number;
  /** Milliseconds to the first token, and between the last two tokens. */
  readonly firstTokenMs?: number;
  readonly maxGapMs?: number;
  readonly totalMs: number;
}
