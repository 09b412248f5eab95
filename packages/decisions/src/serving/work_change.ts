import type {SlotClaim} from '../admission/slot_claim.js';
import type {SuspectChange} from './suspect_change.js';
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
      /** Priority level, 0 first; absent from gateways of the former version. */
      readonly level?: number;
      /** Workspace of the request, if its route needs an API key. */
      readonly workspace?: string;
      /** Set if the request waits for a slot, which holds up no prefill. */
      readonly slot?: SlotClaim;
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
      /** A backend server has named, changed or ended its request rate. */
      readonly type: 'limit';
      readonly serverId: string;
      /** Start of the server's process, in Unix milliseconds. */
      readonly processStartedAt?: number;
      /** Requests a second from all gateways together; none if it ended. */
      readonly perSecond?: number;
      /** Milliseconds since the request was sent whose response said so. */
      readonly askedAgoMs: number;
      /** Milliseconds since the last response that said so. */
      readonly heardAgoMs: number;
    }
  | {
      /**
       * A backend server's speed has changed, or is still lower than declared.
       * Gateways of the former version ignore this change.
       */
      readonly type: 'pace';
      readonly serverId: string;
      /** Duration of its work, relative to what it declares. */
      readonly pace: number;
    }
  | SuspectChange;
