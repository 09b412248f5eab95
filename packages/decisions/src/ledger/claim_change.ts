import type {ClaimOutcome} from './claim_outcome.js';
import type {Claim} from './claim.js';

/** A requested change of a ledger segment. Times are in milliseconds. */
export type ClaimChange =
  | {
      readonly type: 'claim';
      readonly claim: Claim;
      /** Attempt that this claim replaces, proven never to run. */
      readonly replaces?: string;
      readonly submittedAt: number;
      readonly deadlineAt: number;
    }
  | {
      /** Records the outcome of a claimed attempt. */
      readonly type: 'outcome';
      readonly key: string;
      readonly attemptId: string;
      readonly outcome: ClaimOutcome;
      readonly submittedAt: number;
      readonly deadlineAt: number;
    };
