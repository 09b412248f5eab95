import type {Failure} from '../errors/failure.js';
import type {RanState} from '../errors/ran_state.js';

/** State of one caller's request in the call machine. */
export interface CallState {
  /**
   * `routing` has no agent; `opening` awaits acceptance; `active` receives
   * tokens; `detached` waits for the agent's link; `ended` has an outcome.
   */
  readonly phase: 'routing' | 'opening' | 'active' | 'detached' | 'ended';
  /** Attempts that may have reached a backend server. */
  readonly attempts: number;
  /** Ids of the agents that refused since the last accepted attempt. */
  readonly refusedBy: readonly string[];
  readonly agentId?: string;
  readonly agentIncarnation?: string;
  readonly attemptId?: string;
  /** Index of the next token to pass to the caller. */
  readonly nextIndex: number;
  /** Whether any attempt ran or may have run. */
  readonly ran: RanState;
  /** Value of `ran` before the current attempt. */
  readonly ranBeforeAttempt: RanState;
  /** Engine crashes of this request, earlier calls included. */
  readonly crashes: number;
  /** Time in ms when the attempt started, reconnected or last sent a frame. */
  readonly lastReceivedAt: number;
  /** Time in milliseconds at which the agent's link went down. */
  readonly detachedAt: number;
  /** Time in ms when the attempt started or an `attach` was last sent. */
  readonly lastAttachAt: number;
  readonly lastFailure?: Failure;
  /** Ids of the agents that routing must not choose next. */
  readonly exclude: readonly string[];
  /** Time in milliseconds of the last new token passed to the caller. */
  readonly lastTokenAt?: number;
  /** Refusals since the last token of a stream that has begun. */
  readonly resumeRefusals?: number;
  /** Time in milliseconds before which a waiting stream is not routed. */
  readonly routeAt?: number;
  /** Time in milliseconds since which no agent was reachable. */
  readonly unroutedSince?: number;
}
