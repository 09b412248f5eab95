/** Intervals, timeouts and limits of agents. */
export const AGENT = {
  /** Milliseconds between timer checks. */
  TIMER_INTERVAL_MS: 100,
  /** Milliseconds between reads of the backend server's load. */
  LOAD_POLL_INTERVAL_MS: 250,
  /** Milliseconds between reports to entries if nothing has changed. */
  IDLE_REPORT_MS: 5_000,
  /** Minimum milliseconds between two reports. */
  MIN_REPORT_INTERVAL_MS: 100,
  /** Reports are at least this many milliseconds apart per linked entry. */
  REPORT_INTERVAL_PER_LINK_MS: 20,
  /** Milliseconds between broadcasts of the configuration digest. */
  DIGEST_INTERVAL_MS: 4_000,
  /** Milliseconds for which the result of an ended call is kept. */
  CALL_RESULT_RETENTION_MS: 60_000,
  /** Milliseconds for which a detached call waits for its entry. */
  REATTACH_TIMEOUT_MS: 5_000,
  /** Milliseconds before unowned work on an engine is cancelled. */
  UNOWNED_WORK_GRACE_MS: 1_500,
  /** Milliseconds for which an offer waits for newer configuration. */
  CONFIG_WAIT_MS: 300,
  /** Timeout in milliseconds of engine requests that don't stream. */
  ENGINE_TIMEOUT_MS: 1_000,
  /** Milliseconds without data after which an engine's stream is aborted. */
  STREAM_IDLE_TIMEOUT_MS: 120_000,
  /** Generated tokens per sample of the token interval. */
  TOKENS_PER_INTERVAL_SAMPLE: 4,
  /** Milliseconds for which the status of an attempt is kept. */
  ATTEMPT_RETENTION_MS: 600_000,
  /** Milliseconds for which storing an outcome is retried. */
  OUTCOME_STORE_TIMEOUT_MS: 600_000,
  /** Milliseconds within which a claim must be written. */
  CLAIM_TIMEOUT_MS: 2_000,
  /** Ledger shards per service. */
  LEDGER_SHARDS: 16,
  /** Range in milliseconds of key creation times in one ledger segment. */
  LEDGER_SEGMENT_MS: 3_600_000,
  /** Size in bytes at which a ledger object accepts no more keys. */
  LEDGER_SEAL_BYTES: 600_000,
  /** Milliseconds between sweeps of expired ledger segments. */
  LEDGER_SWEEP_INTERVAL_MS: 300_000,
  /** Largest response body in bytes that is stored with an outcome. */
  MAX_STORED_OUTCOME_BYTES: 2_048,
} as const;
