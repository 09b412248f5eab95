/** Limits and defaults of the HTTP interface for callers. */
export const CALLER_API = {
  /** Maximum size of a request body. */
  MAX_BODY_BYTES: 16_777_216,
  /** Maximum time until a request body has arrived. */
  BODY_TIMEOUT_MS: 30_000,
  /** Timeout of a request without a timeout header. */
  DEFAULT_TIMEOUT_MS: 600_000,
  /** Maximum timeout that a caller may set. */
  MAX_TIMEOUT_MS: 3_600_000,
  /** Maximum of generated tokens if the caller sets no `max_tokens`. */
  DEFAULT_COMPLETION_TOKENS: 16,
  /** Maximum of `max_tokens`. */
  MAX_COMPLETION_TOKENS: 65_536,
  /** Prompt characters per token, to estimate the length of a prompt. */
  CHARS_PER_TOKEN: 4,
  /** Maximum length of an idempotency key. */
  MAX_KEY_CHARS: 128,
} as const;
