import type {Failure} from '../errors/failure.js';
import type {Claim} from './claim.js';

/** Result of a requested ledger change. */
export type ClaimResult =
  | {readonly type: 'granted'; readonly attemptId: string}
  | {
      /** Another attempt holds the key. */
      readonly type: 'exists';
      readonly attemptId: string;
      readonly claim: Claim;
    }
  | {
      /** The segment is full; the claim belongs in the next part. */
      readonly type: 'sealed';
      readonly attemptId: string;
    }
  | {
      /** The outcome was recorded, or the attempt has no claim in the segment. */
      readonly type: 'stored';
      readonly attemptId: string;
    }
  | {
      /** The change was not recorded before its deadline. */
      readonly type: 'failed';
      readonly attemptId: string;
      readonly failure: Failure;
    };
