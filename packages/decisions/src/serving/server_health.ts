/** Health of a backend server, as a gateway observes it. */
export interface ServerHealth {
  /** Moving average of failed requests, from 0 to 1, at `updatedAt`. */
  readonly failureRate: number;
  /** Time in milliseconds of the last request that was answered or failed. */
  readonly updatedAt: number;
  /** Time in milliseconds until which the server is avoided. */
  readonly avoidUntil: number;
  /** Consecutive avoidance periods because of failed connections. */
  readonly consecutiveUnreachable: number;
}
