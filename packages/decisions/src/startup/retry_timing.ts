/** How often, and for how long, something that failed is tried again. */
export interface RetryTiming {
  /** Milliseconds between two attempts. */
  readonly intervalMs: number;
  /** Milliseconds after which no attempt follows; Infinity for no limit. */
  readonly retryForMs: number;
}
