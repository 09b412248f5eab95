/** One request to a plain service. */
export interface PlainServiceRequest {
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** Idempotency key, passed on so that the service can use it as well. */
  readonly idempotencyKey?: string;
  readonly timeoutMs: number;
  readonly traceparent?: string;
}
