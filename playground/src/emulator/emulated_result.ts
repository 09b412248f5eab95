import type {EmulatedRequest} from './emulated_request.js';

/** What became of a prompt of an emulated load. */
export interface EmulatedResult {
  readonly request: EmulatedRequest;
  readonly outcome: 'on-time' | 'late' | 'refused' | 'failed';
  readonly firstEventMs?: number;
  readonly longestPauseMs: number;
}
