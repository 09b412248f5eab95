/** Constants of the gateway. */
export const GATEWAY = {
  /** Backend servers that one attempt of a caller is offered to. */
  OFFERS_MAX: 4,
  /** Status of a backend server that ran a request up to its deadline. */
  TIMED_OUT_STATUS: 504,
  /** Milliseconds after its start for which an entry holds requests that come before the configuration. */
  STARTUP_MS: 500,
  /** Milliseconds between checks of deadlines. */
  TICK_MS: 20,
  /** Share of a caller's patience for silence after which to move on. */
  SILENCE_SHARE: 0.45,
  /** Least patience of a caller for silence in a stream, in milliseconds. */
  PATIENCE_MIN_MS: 2_000,
  /** Target times that a caller of a stream waits for an event. */
  PATIENCE_TARGETS: 4,
  /** Accepted pauses that a caller of a stream waits for an event. */
  PATIENCE_PAUSES: 8,
  /** Milliseconds after which a reservation ends unless renewed. */
  RESERVATION_MS: 3_500,
  /** Milliseconds between renewals of a reservation. */
  RENEW_MS: 1_000,
  /** Prompt tokens over which an engine admits a prompt after shorter ones. */
  LONG_PROMPT_TOKENS: 30_000,
  /** Rank of short prompts at a model engine. */
  SHORT_PRIORITY: 3,
  /** Rank of long prompts at a model engine. */
  LONG_PRIORITY: 5,
  /** Share of the retry budget that entries use. */
  RETRY_SHARE: 0.7,
  /** Milliseconds between messages about work to other entries. */
  WORK_BATCH_MS: 5,
} as const;
