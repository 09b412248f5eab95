import type {ClaimOutcome} from './claim_outcome.js';

/** Claim of one idempotency key by one attempt, as stored in the ledger. */
export interface Claim {
  readonly key: string;
  /** The only attempt that may run. */
  readonly attemptId: string;
  /** Agent that may run the attempt, and the incarnation of its process. */
  readonly agentId: string;
  readonly incarnation: string;
  /** Fingerprint of the request's body. */
  readonly fingerprint: string;
  /** Time of the claim in milliseconds. */
  readonly claimedAt: number;
  /** `done` once the outcome is recorded. */
  readonly state: 'claimed' | 'done';
  readonly outcome?: ClaimOutcome;
}
