/** Outcome of a call that may not repeat, as a resend gets it. */
export interface ClaimOutcome {
  /** HTTP status of the plain service. */
  readonly status: number;
  readonly contentType: string;
  /** Body as base64; undefined where it was too large to keep. */
  readonly body?: string;
}
