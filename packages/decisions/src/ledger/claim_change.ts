import type {ClaimOutcome} from './claim_outcome.js';
import type {Claim} from './claim.js';

/** A change of a ledger segment that waits to be written. */
export type ClaimChange =
  | {
      readonly type: 'claim';
      readonly claim: Claim;
      /** Attempt that this claim replaces, proved never to run. */
      readonly replaces?: string;
      readonly submittedAt: number;
      readonly deadlineAt: number;
    }
  | {
      readonly type: 'outcome';
      readonly key: string;
      readonly attemptId: string;
      readonly outcome: ClaimOutcome;
      readonly submittedAt: number;
      readonly deadlineAt: number;
    };
