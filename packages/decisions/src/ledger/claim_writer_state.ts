import type {ClaimChange} from './claim_change.js';
import type {ClaimSegment} from './claim_segment.js';

/** State of the writer of one ledger segment. */
export interface ClaimWriterState {
  readonly mode: 'idle' | 'reading' | 'writing';
  /** Changes that no write under way carries. */
  readonly queued: readonly ClaimChange[];
  /** Changes that the write under way carries. */
  readonly inFlight: readonly ClaimChange[];
  /** The segment as it was last read or written by this node. */
  readonly cached?: {
    /** Version of the object; 0 where it does not exist. */
    readonly version: number;
    readonly segment: ClaimSegment;
    readonly readAt: number;
  };
  /** Segment that the write under way puts. */
  readonly pendingSegment?: ClaimSegment;
  /** Time before which nothing is read or written. */
  readonly notBefore: number;
}
