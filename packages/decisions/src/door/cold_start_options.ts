/** Options of the cold-start limiter. */
export interface ColdStartOptions {
  /** Requests that a cold backend server bears at once. */
  readonly coldRunning: number;
  /** Requests that a warm backend server bears at once. */
  readonly warmRunning: number;
  /** Milliseconds that a warm report must be older than the last fallback. */
  readonly reportLagMs: number;
  /** Factor over the usual token interval that counts as a fallback. */
  readonly slowFactor: number;
  /** Consecutive slow samples that count as a fallback. */
  readonly slowSamples: number;
}
