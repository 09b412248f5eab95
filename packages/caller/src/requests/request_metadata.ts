/** Who sent a request, and until when it must be answered. */
export interface RequestMetadata {
  readonly requestId: string;
  readonly workspace: string;
  readonly token: string;
  readonly timeoutMs: number;
  readonly traceparent?: string;
}
