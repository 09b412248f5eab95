import type {Failure} from '@figfall/decisions';
import type {AnswerHead} from './answer_head.js';

/** Where the answer to one caller's request goes. */
export interface AnswerSink {
  /** Sends a whole answer of a backend server. */
  readonly answer: (head: AnswerHead, body: Buffer) => void;
  /** Begins a stream. */
  readonly begin: (head: AnswerHead) => void;
  /** Sends events, one byte a character; false where the caller reads slower than they come. */
  readonly events: (texts: readonly string[]) => boolean;
  /** Ends a stream as complete. */
  readonly end: () => void;
  /** Sends a failure, or breaks off a stream that has begun. */
  readonly fail: (failure: Failure) => void;
}
