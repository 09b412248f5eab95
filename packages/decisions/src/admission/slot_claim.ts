/** What a request that waits for a slot announces to other gateways. */
export interface SlotClaim {
  /** Name of the service whose backend servers have the slots. */
  readonly service: string;
  /** Milliseconds since the request arrived. */
  readonly waitedMs: number;
  /** True if the request was rejected before and has come back. */
  readonly isReturn: boolean;
}
