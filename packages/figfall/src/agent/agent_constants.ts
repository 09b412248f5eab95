/** Constants of agents. */
export const AGENT = {
  /** Milliseconds between checks of timers. */
  TICK_MS: 100,
  /** Milliseconds between reads of the backend server's load. */
  LOAD_MS: 250,
  /** Milliseconds between reports to entries where nothing changed. */
  REPORT_MS: 5_000,
  /** Least milliseconds between two reports. */
  REPORT_MIN_MS: 100,
  /** Milliseconds that each link adds to the least time between reports. */
  REPORT_PER_LINK_MS: 20,
  /** Milliseconds between digests of the configuration. */
  DIGEST_MS: 4_000,
  /** Milliseconds for which the outcome of a call is kept. */
  OUTCOME_MS: 60_000,
  /** Milliseconds for which a running call waits for its entry. */
  OWNER_MS: 5_000,
  /** Milliseconds for which unowned work on an engine is left alone. */
  UNOWNED_GRACE_MS: 1_500,
  /** Milliseconds that an offer waits for newer records. */
  REFRESH_MS: 300,
  /** Milliseconds within which an engine answers short calls. */
  ENGINE_TIMEOUT_MS: 1_000,
  /** Milliseconds of silence after which an engine's stream is given up. */
  STREAM_TIMEOUT_MS: 120_000,
  /** Tokens between two samples of the token interval. */
  INTERVAL_SAMPLE_TOKENS: 4,
  /** Milliseconds for which the fate of an attempt is remembered. */
  FATE_MS: 600_000,
  /** Milliseconds for which storing an outcome is tried. */
  OUTCOME_STORE_MS: 600_000,
  /** Milliseconds within which a claim must be written. */
  CLAIM_MS: 2_000,
  /** Shards of the keys of one service. */
  LEDGER_SHARDS: 16,
  /** Milliseconds of key creation times in one ledger segment. */
  LEDGER_SEGMENT_MS: 3_600_000,
  /** Bytes at which a ledger object takes no new keys. */
  LEDGER_SEAL_BYTES: 600_000,
  /** Milliseconds between looks for expired ledger segments. */
  SWEEP_MS: 300_000,
  /** Largest body in bytes of an outcome that is kept. */
  OUTCOME_BYTES_MAX: 2_048,
} as const;
