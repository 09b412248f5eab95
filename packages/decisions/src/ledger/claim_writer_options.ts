/** Options of the writer of one ledger segment. */
export interface ClaimWriterOptions {
  /** Minimum milliseconds between two writes of the segment. */
  readonly minIntervalMs: number;
  /** Estimated size in bytes from which a segment takes no new keys. */
  readonly sealBytes: number;
  /** Milliseconds before a failed read or write is retried. */
  readonly retryMs: number;
}
