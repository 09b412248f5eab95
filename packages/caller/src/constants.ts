/** Constants of the callers' interface. */
export const CALLER = {
  /** Largest body in bytes. */
  BODY_BYTES_MAX: 16_777_216,
  /** Milliseconds within which a body must have come. */
  BODY_TIMEOUT_MS: 30_000,
  /** Milliseconds until the deadline where the caller sets none. */
  TIMEOUT_MS: 600_000,
  /** Largest timeout in milliseconds that a caller may ask for. */
  TIMEOUT_MAX_MS: 3_600_000,
  /** Tokens that are generated where the caller sets no bound. */
  MAX_TOKENS: 16,
  /** Largest number of tokens that a caller may ask for. */
  MAX_TOKENS_MAX: 65_536,
  /** Characters of a prompt that count as one token. */
  CHARS_PER_TOKEN: 4,
  /** Longest idempotency key in characters. */
  KEY_CHARS_MAX: 128,
} as const;
