/** Metadata from the headers of a request. */
export interface RequestMetadata {
  /** UUID that figfall assigns to the request. */
  readonly requestId: string;
  readonly workspace: string;
  /** Bearer token of the workspace, not yet verified. */
  readonly token: string;
  readonly timeoutMs: number;
  /** W3C trace context of the caller. */
  readonly traceparent?: string;
}
