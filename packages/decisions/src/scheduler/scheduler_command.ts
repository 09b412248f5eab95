import type {Failure} from '../errors/failure.js';

/** What the door of an agent orders. */
export type SchedulerCommand =
  | {readonly type: 'accept'; readonly callId: string}
  | {
      /** The call never reached the backend server. */
      readonly type: 'refuse';
      readonly callId: string;
      readonly failure: Failure;
    }
  | {
      readonly type: 'dispatch';
      readonly callId: string;
      /** Engine priority; lower goes first. */
      readonly priority: number;
    }
  | {
      /** Stop a running call so that it continues elsewhere. */
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
      /** The reservation ended; its memory on the engine must be freed. */
      readonly type: 'reservation-ended';
      readonly reservationId: string;
    };
