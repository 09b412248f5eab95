import type {Failure} from '../errors/failure.js';
import type {RanState} from '../errors/ran_state.js';

/** State of one caller's request at an entry. */
export interface CallState {
  readonly phase: 'routing' | 'opening' | 'active' | 'detached' | 'ended';
  /** Attempts that may have reached a backend server. */
  readonly attempts: number;
  /** Agents that refused since the last attempt. */
  readonly refusedBy: readonly string[];
  readonly agentId?: string;
  readonly agentIncarnation?: string;
  readonly attemptId?: string;
  /** Index of the next token that the caller lacks. */
  readonly nextIndex: number;
  /** Whether any attempt may have run. */
  readonly ran: RanState;
  /** Value of `ran` before the attempt that is under way. */
  readonly ranBeforeAttempt: RanState;
  readonly crashes: number;
  readonly lastReceivedAt: number;
  readonly detachedAt: number;
  /** Time at which the running attempt was last asked about. */
  readonly lastAttachAt: number;
  readonly lastFailure?: Failure;
  /** Agents that the next choice leaves out. */
  readonly exclude: readonly string[];
  /** Time since which no agent could be reached. */
  readonly unroutedSince?: number;
}
