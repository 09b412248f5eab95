import type {SimulatedRequest} from './simulated_request.js';

/** Outcome of one request of a simulated load. */
export interface SimulatedResult {
  readonly request: SimulatedRequest;
  /** `refused` means that no server executed any of the request. */
  readonly outcome: 'on-time' | 'late' | 'refused' | 'failed';
  /** Milliseconds from arrival to the first event; undefined if none came. */
  readonly firstEventMs?: number;
  readonly longestPauseMs: number;
}
