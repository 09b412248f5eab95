import type {Failure} from '../errors/failure.js';

/** An output of an agent's scheduler, for the agent to carry out. */
export type SchedulerCommand =
  | {readonly type: 'accept'; readonly callId: string}
  | {
      /** Rejects a call that was never sent to the backend server. */
      readonly type: 'refuse';
      readonly callId: string;
      readonly failure: Failure;
    }
  | {
      readonly type: 'dispatch';
      readonly callId: string;
      /** Priority in the engine's own queue; a lower value runs first. */
      readonly priority: number;
    }
  | {
      /** Stops a running call; its entry may resume it on another server. */
      readonly type: 'shed';
      readonly callId: string;
    }
  | {readonly type: 'reserved'; readonly reservationId: string}
  | {
      readonly type: 'not-reserved';
      readonly reservationId: string;
      readonly failure: Failure;
    }
  | {
      /** A reservation was released or expired; the engine must free its memory. */
      readonly type: 'reservation-ended';
      readonly reservationId: string;
    };
