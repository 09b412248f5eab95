import type {ScheduledCall} from './scheduled_call.js';
import type {ServerStatus} from './server_status.js';

/** What the door of an agent learns. */
export type SchedulerEvent =
  | {
      readonly type: 'offer';
      readonly call: ScheduledCall;
      readonly weight: number;
    }
  | {readonly type: 'cancel'; readonly callId: string}
  | {readonly type: 'first-token'; readonly callId: string}
  | {readonly type: 'token-interval'; readonly intervalMs: number}
  | {
      readonly type: 'finished';
      readonly callId: string;
      readonly healthy: boolean;
    }
  | {
      readonly type: 'load-report';
      readonly incarnation: string;
      readonly saysCold: boolean;
    }
  | {readonly type: 'connection-lost'}
  | {readonly type: 'server-status'; readonly status: ServerStatus}
  | {readonly type: 'options-changed'}
  | {
      /** Also extends a reservation that is held already. */
      readonly type: 'reserve';
      readonly reservationId: string;
      readonly tokens: number;
      readonly expiresAt: number;
    }
  | {readonly type: 'release'; readonly reservationId: string}
  | {readonly type: 'tick'};
