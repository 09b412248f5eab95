import type {Failure} from '@figfall/decisions';
import type {ResponseHead} from './response_head.js';

/** Where the answer to one caller's request goes. */
export interface ResponseSink {
  /** Sends a whole answer of a backend server. */
  readonly sendResponse: (head: ResponseHead, body: Buffer) => void;
  /** Begins a stream. */
  readonly startStream: (head: ResponseHead) => void;
  /** Sends events, one byte a character; false where the caller reads slower than they come. */
  readonly writeEvents: (texts: readonly string[]) => boolean;
  /** Ends a stream as complete. */
  readonly endStream: () => void;
  /** Sends a failure, or breaks off a stream that has begun. */
  readonly fail: (failure: Failure) => void;
}
