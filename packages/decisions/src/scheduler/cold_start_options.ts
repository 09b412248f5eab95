/** Options of the cold-start limiter. */
export interface ColdStartOptions {
  /** Maximum number of calls that run concurrently on a cold server. */
  readonly coldMaxRunning: number;
  /** Maximum number of calls that run concurrently on a warm server. */
  readonly warmMaxRunning: number;
  /**
   * Milliseconds after a reset to cold during which a report that says warm is
   * ignored, because it may describe the time before the reset.
   */
  readonly reportLagMs: number;
  /** Token intervals longer than this multiple of the average are slow. */
  readonly slowIntervalFactor: number;
  /** Consecutive slow intervals after which the server counts as cold. */
  readonly slowIntervalSamples: number;
}
