/** Options of the cold-start limiter. */
export interface ColdStartOptions {
  /** Requests that a cold backend server bears at once. */
  readonly coldMaxRunning: number;
  /** Requests that a warm backend server bears at once. */
  readonly warmMaxRunning: number;
  /** Milliseconds that a warm report must be older than the last fallback. */
  readonly reportLagMs: number;
  /** Factor over the usual token interval that counts as a fallback. */
  readonly slowIntervalFactor: number;
  /** Consecutive slow samples that count as a fallback. */
  readonly slowIntervalSamples: number;
}
