import type {ClaimResult} from './claim_result.js';
import type {ClaimSegment} from './claim_segment.js';

/** What the writer of a ledger segment orders. */
export type ClaimWriterCommand =
  | {readonly type: 'read'}
  | {
      readonly type: 'write';
      readonly expectedVersion: number;
      readonly segment: ClaimSegment;
    }
  | {readonly type: 'settle'; readonly result: ClaimResult};
