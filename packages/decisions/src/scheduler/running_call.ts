import type {ScheduledCall} from './scheduled_call.js';

/** A call that has been dispatched to the backend server. */
export interface RunningCall {
  readonly call: ScheduledCall;
  readonly dispatchedAt: number;
  /** Time of the first token; undefined while the prompt is prefilled. */
  readonly firstTokenAt?: number;
}
