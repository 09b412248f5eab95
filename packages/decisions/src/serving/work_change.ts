import type {WorkItem} from './work_item.js';

/** A change of a gateway's work, which it broadcasts to the other gateways. */
export type WorkChange =
  | {readonly type: 'start'; readonly work: WorkItem}
  | {readonly type: 'prefilled'; readonly workId: string}
  | {
      /** A prompt is queued; `workId` is the id of its request. */
      readonly type: 'wait';
      readonly workId: string;
      /** Prompts with lower ranks start first. */
      readonly rank: number;
    }
  | {readonly type: 'end'; readonly workId: string}
  | {
      /** A connection to a backend server could not be established. */
      readonly type: 'unreachable';
      readonly serverId: string;
    }
  | {
      /** A backend server has said that it is shutting down. */
      readonly type: 'leaving';
      readonly serverId: string;
      /** Start of the process that leaves, in Unix milliseconds. */
      readonly processStartedAt?: number;
    }
  | {
      /** A backend server closed the connection while it ran a request. */
      readonly type: 'broke';
      /** Hash that identifies the request's content. */
      readonly fingerprint: string;
      readonly serverId: string;
      /** Time in milliseconds from sending the request to the disconnect. */
      readonly heldMs: number;
    }
  | {
      /** A request that ended in a disconnect before was answered. */
      readonly type: 'answered';
      readonly fingerprint: string;
    };
