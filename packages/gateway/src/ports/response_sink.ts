import type {Failure} from '@figfall/decisions';
import type {ResponseHead} from './response_head.js';

/** Writes the response to one caller's request. */
export interface ResponseSink {
  /** Sends a complete response of a backend server. */
  readonly sendResponse: (head: ResponseHead, body: Buffer) => void;
  /** Starts a streaming response. */
  readonly startStream: (head: ResponseHead) => void;
  /**
   * Writes events of a stream, whose characters are Latin-1 bytes. False if
   * the caller's connection is congested, until it drains.
   */
  readonly writeEvents: (texts: readonly string[]) => boolean;
  /** Ends a stream as complete. */
  readonly endStream: () => void;
  /** Sends a failure, or aborts a stream that has started. */
  readonly fail: (failure: Failure) => void;
}
