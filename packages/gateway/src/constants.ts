/** Constants of the gateway. */
export const GATEWAY = {
  /** Backend servers that a call without an event is placed on, refusals too. */
  SERVERS_TRIED_MAX: 4,
  /** Lowest status of a backend server's own errors. */
  ERROR_STATUS: 500,
  /** Status of a backend server that ran a request until its deadline. */
  DEADLINE_EXCEEDED_STATUS: 504,
  /**
   * Milliseconds for which a request waits for the first configuration: half of
   * the shortest time that a stream's caller waits for an event.
   */
  STARTUP_WAIT_MS: 1_000,
  /** Share of a request's time that this wait may take. */
  STARTUP_WAIT_SHARE: 0.25,
  /** Milliseconds between checks of deadlines and silent attempts. */
  TICK_MS: 20,
  /** Milliseconds between these checks while there is nothing to check. */
  IDLE_TICK_MS: 200,
  /** Share of a caller's patience after which a silent attempt gets another beside it. */
  SILENCE_PATIENCE_SHARE: 0.45,
  /** Predicted times until the first event for which silence is expected. */
  PREDICTED_SILENCE_FACTOR: 2,
  /** Milliseconds between tries to start a second attempt beside a silent one. */
  HEDGE_INTERVAL_MS: 100,
  /** Least milliseconds that a stream's caller waits for an event. */
  PATIENCE_MIN_MS: 2_000,
  /** Target times that a stream's caller waits for an event. */
  PATIENCE_TARGET_FACTOR: 4,
  /** Accepted pauses that a stream's caller waits for an event. */
  PATIENCE_PAUSE_FACTOR: 8,
  /** Milliseconds after which a reservation expires unless renewed. */
  RESERVATION_TTL_MS: 3_500,
  /** Milliseconds between renewals of a reservation. */
  RESERVATION_RENEW_MS: 1_000,
  /** Prompt tokens above which an engine admits a prompt after shorter ones. */
  LONG_PROMPT_TOKENS: 30_000,
  /** Priority of short prompts at a model engine; lower values go first. */
  SHORT_PROMPT_PRIORITY: 3,
  /** Priority of long prompts at a model engine. */
  LONG_PROMPT_PRIORITY: 5,
  /** Share of the configured retry budget that gateways spend. */
  RETRY_BUDGET_SHARE: 0.7,
  /** Milliseconds for which changes of work are batched for other gateways. */
  WORK_BATCH_MS: 5,
} as const;
