import type {Failure} from '@figfall/decisions';

/** How a caller's request ended, for logs and metrics. */
export interface CallOutcome {
  readonly result: 'answered' | 'failed' | 'gone';
  readonly failure?: Failure;
  readonly status?: number;
  readonly serverId?: string;
  readonly attempts: number;
  /** Other servers that read parts of the prompt. */
  readonly helpers: readonly string[];
  /** Predicted time until the first event, in milliseconds. */
  readonly predictedMs: number;
  readonly firstEventMs?: number;
  /** Longest pause between events of a stream, in milliseconds. */
  readonly longestPauseMs: number;
  readonly totalMs: number;
}
