/** Options of the writer of one ledger segment. */
export interface ClaimWriterOptions {
  /** Least milliseconds between two writes of the segment. */
  readonly minIntervalMs: number;
  /** Size in bytes at which a segment takes no new keys. */
  readonly sealBytes: number;
  /** Milliseconds before a failed read or write is tried again. */
  readonly retryMs: number;
}
