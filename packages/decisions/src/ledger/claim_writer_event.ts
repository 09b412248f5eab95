import type {ClaimChange} from './claim_change.js';
import type {ClaimSegment} from './claim_segment.js';

/** An input of a segment's writer. */
export type ClaimWriterEvent =
  | {readonly type: 'submit'; readonly change: ClaimChange}
  | {
      /** `version` is 0 if the object doesn't exist. */
      readonly type: 'read';
      readonly version: number;
      readonly segment: ClaimSegment;
    }
  | {readonly type: 'read-failed'}
  | {readonly type: 'written'; readonly version: number}
  | {
      /** The object had a different version; nothing was written. */
      readonly type: 'conflict';
    }
  | {
      /** No response arrived; the write may have taken effect or may do so later. */
      readonly type: 'write-lost';
    }
  | {readonly type: 'tick'};
