import type {Failure} from '@figfall/decisions';

/** How a caller's request ended, for logs and metrics. */
export interface CallOutcome {
  /** `gone` if the caller disconnected first. */
  readonly result: 'answered' | 'failed' | 'gone';
  readonly failure?: Failure;
  /** HTTP status that the caller got, if it got one. */
  readonly status?: number;
  /** Backend server of the last attempt. */
  readonly serverId?: string;
  /** Number of placements on backend servers. */
  readonly attempts: number;
  /** Ids of the other servers that prefilled parts of the prompt. */
  readonly helpers: readonly string[];
  /** Predicted time until the first event, in milliseconds. */
  readonly predictedMs: number;
  /** Events of a stream that were passed on to the caller. */
  readonly eventCount: number;
  /** Time from arrival to the first event, in milliseconds. */
  readonly firstEventMs?: number;
  /** Longest pause between events of a stream, in milliseconds. */
  readonly longestPauseMs: number;
  /** Time from arrival to the end, in milliseconds. */
  readonly totalMs: number;
}
