import type {DoorCall} from './door_call.js';

/** A call that has been dispatched to the backend server. */
export interface RunningCall {
  readonly call: DoorCall;
  readonly dispatchedAt: number;
  /** Time of the first token; undefined while the prompt is prefilled. */
  readonly firstTokenAt?: number;
}
