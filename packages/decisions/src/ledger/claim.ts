import type {ClaimOutcome} from './claim_outcome.js';

/** The claim of one idempotency key by one attempt. */
export interface Claim {
  readonly key: string;
  /** Identifier of the one attempt that may run. */
  readonly attemptId: string;
  /** Agent that may run the attempt, and its incarnation. */
  readonly agentId: string;
  readonly incarnation: string;
  /** Fingerprint of the request's body. */
  readonly fingerprint: string;
  readonly claimedAt: number;
  readonly state: 'claimed' | 'done';
  readonly outcome?: ClaimOutcome;
}
