/** Constants of entries. */
export const ENTRY = {
  /** Milliseconds between checks of timers. */
  TICK_MS: 100,
  /** Milliseconds between broadcasts of the configuration digest. */
  DIGEST_INTERVAL_MS: 4_000,
  /** Milliseconds between reviews of the links that are kept. */
  LINK_PLAN_MS: 500,
  /** Refusals by agents in a row after which the request fails. */
  OFFERS_MAX: 4,
  /** Attempts of one request that may reach a backend server. */
  ATTEMPTS_MAX: 4,
  /** Milliseconds without a frame before an `attach` is sent to the agent. */
  PROGRESS_TIMEOUT_MS: 2_000,
  /** Milliseconds to wait for a lost link before the attempt fails. */
  RECONNECT_TIMEOUT_MS: 1_500,
  /** Milliseconds to wait for links to known agents to come up. */
  ROUTE_TIMEOUT_MS: 3_000,
  /** Retries earned by one request. */
  RETRY_RATIO: 0.2,
  /** Largest balance of retries. */
  RETRY_BURST: 20,
  /** Milliseconds after which a reservation ends unless renewed. */
  RESERVATION_TTL_MS: 6_000,
  /** Milliseconds between renewals of a reservation. */
  RENEW_INTERVAL_MS: 2_000,
  /** Times that a prompt split over several engines is planned. */
  GROUP_PLANS_MAX: 3,
  /** Characters of a block of the engines' KV cache. */
  KV_BLOCK_CHARS: 4_096,
  /** Recent requests over which the share of long prompts is measured. */
  RECENT_REQUESTS: 200,
  /** Least milliseconds between writes of the status of a zone. */
  STATUS_INTERVAL_MS: 1_000,
  /** Milliseconds after which an unchanged status is written again. */
  STATUS_REFRESH_MS: 15_000,
} as const;
