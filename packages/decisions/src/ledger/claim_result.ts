import type {Failure} from '../errors/failure.js';
import type {Claim} from './claim.js';

/** What became of a change of the ledger. */
export type ClaimResult =
  | {readonly type: 'granted'; readonly attemptId: string}
  | {
      readonly type: 'exists';
      readonly attemptId: string;
      readonly claim: Claim;
    }
  | {readonly type: 'sealed'; readonly attemptId: string}
  | {readonly type: 'stored'; readonly attemptId: string}
  | {
      readonly type: 'failed';
      readonly attemptId: string;
      readonly failure: Failure;
    };
