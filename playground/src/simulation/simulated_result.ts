import type {SimulatedRequest} from './simulated_request.js';

/** What became of a prompt of an emulated load. */
export interface SimulatedResult {
  readonly request: SimulatedRequest;
  readonly outcome: 'on-time' | 'late' | 'refused' | 'failed';
  readonly firstEventMs?: number;
  readonly longestPauseMs: number;
}
