/** Options of one caller's request at an entry. */
export interface CallOptions {
  /** A request that may run more than once. */
  readonly idempotent: boolean;
  /** Time in milliseconds by which the caller must have its answer. */
  readonly deadlineAt: number;
  /** Agents that may refuse before the caller is refused. */
  readonly maxOffers: number;
  /** Attempts that may reach a backend server. */
  readonly maxAttempts: number;
  /** Milliseconds without a frame after which the agent is asked. */
  readonly progressTimeoutMs: number;
  /** Milliseconds to wait for a lost link before moving elsewhere. */
  readonly reconnectTimeoutMs: number;
  /** Milliseconds to wait for links to agents that are known. */
  readonly routeTimeoutMs: number;
  /** Engine crashes already recorded for this request. */
  readonly crashes: number;
  /** Tokens that the caller already has from an earlier group of engines. */
  readonly resumeIndex: number;
}
