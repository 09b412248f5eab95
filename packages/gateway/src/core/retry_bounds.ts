/** Bounds of the retries that a gateway may make. */
export interface RetryBounds {
  /** Retries that each request adds to its service's budget. */
  readonly ratio: number;
  /** Retries beyond these that all gateways together may make. */
  readonly slack: number;
}
