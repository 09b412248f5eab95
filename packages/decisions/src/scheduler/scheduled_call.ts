import type {CallClass} from './call_class.js';

/** A call as the scheduler of an agent sees it. */
export interface ScheduledCall {
  readonly callId: string;
  readonly workspace: string;
  /** Model or service that the call is for. */
  readonly target: string;
  readonly callClass: CallClass;
  readonly promptTokens: number;
  /** Prompt tokens plus the maximum number of generated tokens. */
  readonly totalTokens: number;
  /** Time in milliseconds by which the call must end. */
  readonly deadlineAt: number;
  /** True if no other call may run at the same time. */
  readonly runsAlone: boolean;
  /** Fingerprint of the request's body. */
  readonly fingerprint: string;
  /** Reservation whose memory the call uses instead of free memory. */
  readonly reservationId?: string;
  /** Time in milliseconds at which the scheduler received the call. */
  readonly arrivedAt: number;
}
