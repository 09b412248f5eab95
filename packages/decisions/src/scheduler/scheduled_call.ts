import type {CallClass} from './call_class.js';

/** A request as the door of an agent sees it. */
export interface ScheduledCall {
  readonly callId: string;
  readonly workspace: string;
  /** Model, or service, that the call is for. */
  readonly target: string;
  readonly callClass: CallClass;
  readonly promptTokens: number;
  /** Prompt tokens plus the most tokens that may be generated. */
  readonly totalTokens: number;
  /** Time in milliseconds by which the call must have ended. */
  readonly deadlineAt: number;
  /** True where the call must run with no other beside it. */
  readonly runsAlone: boolean;
  /** Fingerprint of the request's body. */
  readonly fingerprint: string;
  /** Reservation whose memory the call uses; it needs none of its own. */
  readonly reservationId?: string;
  /** Time in milliseconds at which the door was asked. */
  readonly arrivedAt: number;
}
