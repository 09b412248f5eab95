/** Prefill of one segment of a prompt that several engines hold. */
export interface SegmentRequest {
  readonly requestId: string;
  readonly model: string;
  readonly text: string;
  /** Handle of the KV cache of the segments before. */
  readonly kvCacheHandle?: string;
  readonly priority: number;
  readonly signal: AbortSignal;
}
