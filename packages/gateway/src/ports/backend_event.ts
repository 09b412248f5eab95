import type {Failure} from '@figfall/decisions';
import type {ResponseHead} from './response_head.js';

/** What becomes of an attempt at a backend server. */
export type BackendEvent =
  | {
      /** The request has left on a connection, so it may run. */
      readonly type: 'sent';
    }
  | {
      /** The backend server did not run the request and never will. */
      readonly type: 'refused';
      readonly failure: Failure;
      /** True where the server could not be reached at all. */
      readonly unreachable: boolean;
      /** Address of the server at fault, where it is another one. */
      readonly faultyAddress?: string;
    }
  | {
      /** A whole answer, of any status. */
      readonly type: 'response';
      readonly head: ResponseHead;
      readonly body: Buffer;
    }
  | {
      /** A stream begins. */
      readonly type: 'head';
      readonly head: ResponseHead;
    }
  | {
      readonly type: 'events';
      readonly firstId: number;
      /** Whole events with consecutive ids; each byte is one Latin-1 character. */
      readonly texts: readonly string[];
    }
  | {
      /** The stream is complete. */
      readonly type: 'end';
    }
  | {
      /** The attempt ended without a whole answer, and may have run. */
      readonly type: 'failed';
      readonly reason: string;
    };
