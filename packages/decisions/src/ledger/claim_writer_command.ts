import type {ClaimResult} from './claim_result.js';
import type {ClaimSegment} from './claim_segment.js';

/** An output of a segment's writer: a platform request or a result. */
export type ClaimWriterCommand =
  | {readonly type: 'read'}
  | {
      readonly type: 'write';
      readonly expectedVersion: number;
      readonly segment: ClaimSegment;
    }
  | {readonly type: 'settle'; readonly result: ClaimResult};
