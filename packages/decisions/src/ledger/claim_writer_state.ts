import type {ClaimChange} from './claim_change.js';
import type {ClaimSegment} from './claim_segment.js';

/** State of the writer of one ledger segment. */
export interface ClaimWriterState {
  readonly mode: 'idle' | 'reading' | 'writing';
  /** Changes that are not part of the write in progress. */
  readonly queued: readonly ClaimChange[];
  /** Changes that the write in progress contains. */
  readonly inFlight: readonly ClaimChange[];
  /** The segment as this writer last read or wrote it. */
  readonly cached?: {
    /** Version of the object; 0 if it doesn't exist. */
    readonly version: number;
    readonly segment: ClaimSegment;
    /** Time in milliseconds. */
    readonly readAt: number;
  };
  /** Segment that the write in progress stores. */
  readonly pendingSegment?: ClaimSegment;
  /** Time in milliseconds before which no read or write starts. */
  readonly notBefore: number;
}
