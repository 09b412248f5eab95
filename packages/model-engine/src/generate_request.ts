/** One generation on a model engine. */
export interface GenerateRequest {
  readonly requestId: string;
  readonly kind: 'completion' | 'chat';
  /** Model as the engine names it. */
  readonly model: string;
  /** The caller's JSON body, forwarded without decoding it. */
  readonly body: Uint8Array;
  /** Lower goes first. */
  readonly priority: number;
  /** Tokens that the caller already has, and their text. */
  readonly resumeIndex: number;
  readonly resumeText?: string;
  /** Handle of the KV cache of the segments before. */
  readonly kvCacheHandle?: string;
  readonly traceparent?: string;
  readonly signal: AbortSignal;
}
