/** A request to prefill one segment of a prompt split across engines. */
export interface SegmentRequest {
  readonly requestId: string;
  /** Model as `name@version`. */
  readonly model: string;
  readonly text: string;
  /** Handle of the KV cache of the preceding prompt segments. */
  readonly kvCacheHandle?: string;
  /** Lower values run first. */
  readonly priority: number;
  readonly signal: AbortSignal;
}
