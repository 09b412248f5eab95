import type {ScheduledCall} from './scheduled_call.js';

/** A call that was dispatched to the backend server and hasn't ended. */
export interface RunningCall {
  readonly call: ScheduledCall;
  /** Time of the dispatch in milliseconds. */
  readonly dispatchedAt: number;
  /** Time of the first token in milliseconds; undefined during prefill. */
  readonly firstTokenAt?: number;
}
