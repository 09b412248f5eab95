/** Outcome of a call that may not repeat, as a resend gets it. */
interface ClaimOutcome {
  /** HTTP status of the plain service. */
  readonly status: number;
  readonly contentType: string;
  /** Body as base64; undefined where it was too large to keep. */
  readonly body?: string;
}

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
