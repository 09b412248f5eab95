import type {Failure} from '@figfall/decisions';
import type {ResponseHead} from './response_head.js';

/** An event of one attempt at a backend server. */
export type BackendEvent =
  | {
      /** The request was written to a connection, so it may run. */
      readonly type: 'sent';
    }
  | {
      /** The backend server did not run the request and never will. */
      readonly type: 'refused';
      readonly failure: Failure;
      /** True if the server could not be reached at all. */
      readonly unreachable: boolean;
      /** Address (`host:port`) of the server at fault, if it is another one. */
      readonly faultyAddress?: string;
    }
  | {
      /**
       * A complete response with any status. Whatever its status, the server may
       * have run the request; one that says it did not is `refused`.
       */
      readonly type: 'response';
      readonly head: ResponseHead;
      readonly body: Buffer;
    }
  | {
      /** A streaming response starts. */
      readonly type: 'head';
      readonly head: ResponseHead;
    }
  | {
      /** Events of the stream, with consecutive ids. */
      readonly type: 'events';
      readonly firstId: number;
      /** Complete events; each character is one Latin-1 byte. */
      readonly texts: readonly string[];
    }
  | {
      /** The stream is complete. */
      readonly type: 'end';
    }
  | {
      /** The attempt ended without a complete response, and may have run. */
      readonly type: 'failed';
      readonly reason: string;
      /**
       * True if the server sent what is no answer, so its process goes on.
       * @default false
       */
      readonly isAlive?: boolean;
      /** Milliseconds that a reused connection had lain idle before. */
      readonly idleMs?: number;
    };
