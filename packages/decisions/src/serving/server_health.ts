/** What an entry has seen of a backend server's answers. */
export interface ServerHealth {
  /** Recent share of requests that failed, from 0 to 1. */
  readonly failureRate: number;
  readonly updatedAt: number;
  /** Time in milliseconds until which the server is left out. */
  readonly avoidUntil: number;
  /** Times in a row that it could not be reached. */
  readonly consecutiveUnreachable: number;
}
