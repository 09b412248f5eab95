/** A request to a plain service. */
export interface PlainServiceRequest {
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** Forwarded, so that the service can detect duplicates, too. */
  readonly idempotencyKey?: string;
  /** Milliseconds without data after which the request fails. */
  readonly timeoutMs: number;
  readonly traceparent?: string;
}
