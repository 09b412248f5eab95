/** Options of one caller's request in the call machine. */
export interface CallOptions {
  /** True if the request may safely run more than once. */
  readonly idempotent: boolean;
  /** Time in milliseconds by which the response must be complete. */
  readonly deadlineAt: number;
  /** Refusals in a row after which the request fails. */
  readonly maxOffers: number;
  /** Largest number of attempts that may reach a backend server. */
  readonly maxAttempts: number;
  /** Milliseconds without a frame before an `attach` is sent to the agent. */
  readonly progressTimeoutMs: number;
  /** Milliseconds to wait for a lost link before the attempt fails. */
  readonly reconnectTimeoutMs: number;
  /** Milliseconds to wait for links to known agents to come up. */
  readonly routeTimeoutMs: number;
  /**
   * Milliseconds since its last token for which a stream that has begun waits
   * for a server that goes on with it.
   */
  readonly resumeTimeoutMs: number;
  /** Engine crashes already recorded for this request. */
  readonly crashes: number;
  /** Number of tokens that the caller has from an earlier group of engines. */
  readonly resumeIndex: number;
}
