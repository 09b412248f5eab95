import type {ClaimChange} from './claim_change.js';
import type {ClaimSegment} from './claim_segment.js';

/** What the writer of a ledger segment learns. */
export type ClaimWriterEvent =
  | {readonly type: 'submit'; readonly change: ClaimChange}
  | {
      readonly type: 'read';
      readonly version: number;
      readonly segment: ClaimSegment;
    }
  | {readonly type: 'read-failed'}
  | {readonly type: 'written'; readonly version: number}
  | {
      /** The object had another version; nothing was written. */
      readonly type: 'conflict';
    }
  | {
      /** No answer came; the write may take effect now or later. */
      readonly type: 'write-lost';
    }
  | {readonly type: 'tick'};
