/** Constants of entries. */
export const ENTRY = {
  /** Milliseconds between checks of timers. */
  TICK_MS: 100,
  /** Milliseconds between digests of the configuration. */
  DIGEST_MS: 4_000,
  /** Milliseconds between reviews of the links that are kept. */
  LINK_PLAN_MS: 500,
  /** Agents that may refuse a request before its caller is refused. */
  OFFERS_MAX: 4,
  /** Attempts of one request that may reach a backend server. */
  ATTEMPTS_MAX: 4,
  /** Milliseconds without a frame after which an agent is asked. */
  PROGRESS_MS: 2_000,
  /** Milliseconds to wait for a lost link before moving elsewhere. */
  DETACH_MS: 1_500,
  /** Milliseconds to wait for links to agents that are known. */
  ROUTE_MS: 3_000,
  /** Retries earned by one request, and the largest balance of retries. */
  RETRY_RATIO: 0.2,
  RETRY_BURST: 20,
  /** Milliseconds for which a reservation stands without renewal. */
  RESERVATION_MS: 6_000,
  /** Milliseconds between renewals of reservations. */
  RENEW_MS: 2_000,
  /** Times that a prompt beyond one engine's memory is planned. */
  GROUP_ROUNDS: 3,
  /** Characters of a block of the engines' KV cache. */
  KV_BLOCK_CHARS: 4_096,
  /** Requests over which the mix of lengths is measured. */
  MIX_WINDOW: 200,
  /** Milliseconds between writes of the status of a zone. */
  STATUS_MS: 1_000,
  /** Milliseconds after which an unchanged status is written again. */
  STATUS_REFRESH_MS: 15_000,
} as const;
