/** Stored response of a non-idempotent call, returned when it is resent. */
export interface ClaimOutcome {
  /** HTTP status code from the plain service. */
  readonly status: number;
  readonly contentType: string;
  /** Base64 body; undefined if it was too large to store. */
  readonly body?: string;
}
