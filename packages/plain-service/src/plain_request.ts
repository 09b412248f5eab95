/** One request to a plain service. */
export interface PlainRequest {
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** Idempotency key, passed on so that the service can use it as well. */
  readonly key?: string;
  readonly timeoutMs: number;
  readonly traceparent?: string;
}
