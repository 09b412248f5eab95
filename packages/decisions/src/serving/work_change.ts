import type {WorkItem} from './work_item.js';

/** A change of an entry's work, as it tells other entries. */
export type WorkChange =
  | {readonly type: 'start'; readonly work: WorkItem}
  | {readonly type: 'prefilled'; readonly workId: string}
  | {
      /** A prompt waits for servers; the id is that of its request. */
      readonly type: 'wait';
      readonly workId: string;
      readonly rank: number;
    }
  | {readonly type: 'end'; readonly workId: string}
  | {
      /** A backend server that could not be reached. */
      readonly type: 'unreachable';
      readonly serverId: string;
    }
  | {
      /** A backend server broke off while it ran a request. */
      readonly type: 'broke';
      readonly fingerprint: string;
      readonly serverId: string;
      /** Milliseconds for which the server had the request. */
      readonly heldMs: number;
    }
  | {
      /** A request that had broken off was answered. */
      readonly type: 'answered';
      readonly fingerprint: string;
    };
