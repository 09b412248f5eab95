/** A request for a generation on a model engine. */
export interface GenerateRequest {
  /** Identifies the sequence at the engine, to cancel it. */
  readonly requestId: string;
  readonly kind: 'completion' | 'chat';
  /** Model as `name@version`; replaces the model of the body. */
  readonly model: string;
  /** The caller's JSON body; forwarded without being parsed. */
  readonly body: Uint8Array;
  /** Lower values run first. */
  readonly priority: number;
  /** Number of tokens that the caller already has; 0 for a new generation. */
  readonly resumeIndex: number;
  /** Text of these tokens. */
  readonly resumeText?: string;
  /** Handle of the KV cache of the preceding prompt segments. */
  readonly kvCacheHandle?: string;
  readonly traceparent?: string;
  /** Aborts the generation. */
  readonly signal: AbortSignal;
}
