import type {ScheduledCall} from './scheduled_call.js';
import type {ServerStatus} from './server_status.js';

/** An input of an agent's scheduler. */
export type SchedulerEvent =
  | {
      /** A call arrives; `weight` is the fair-queueing weight of its workspace. */
      readonly type: 'offer';
      readonly call: ScheduledCall;
      readonly weight: number;
    }
  | {readonly type: 'cancel'; readonly callId: string}
  | {readonly type: 'first-token'; readonly callId: string}
  | {readonly type: 'token-interval'; readonly intervalMs: number}
  | {
      /** A running call ended; `healthy` is true only if it was completed. */
      readonly type: 'finished';
      readonly callId: string;
      readonly healthy: boolean;
      /** True if the connection broke, so that the server may be down. */
      readonly disconnected?: boolean;
    }
  | {
      readonly type: 'load-report';
      readonly incarnation: string;
      readonly cold: boolean;
    }
  | {readonly type: 'connection-lost'}
  | {readonly type: 'server-status'; readonly status: ServerStatus}
  | {readonly type: 'options-changed'}
  | {
      /** Requests a reservation of memory, or extends one that exists. */
      readonly type: 'reserve';
      readonly reservationId: string;
      readonly tokens: number;
      readonly expiresAt: number;
    }
  | {readonly type: 'release'; readonly reservationId: string}
  | {readonly type: 'tick'};
