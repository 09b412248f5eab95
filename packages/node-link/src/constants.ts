/** Protocol constants and timeouts of links between figfall processes. */
export const LINK = {
  /** Protocol version; the handshake fails if the peer's version differs. */
  PROTOCOL_VERSION: 1,
  /** Largest frame in bytes. */
  MAX_FRAME_BYTES: 1_048_576,
  /** Bytes that a stream may have in flight without credit. */
  STREAM_WINDOW_BYTES: 262_144,
  /** Consumed bytes of a stream at which a credit frame is sent. */
  CREDIT_THRESHOLD_BYTES: 65_536,
  /** Milliseconds between heartbeats on a link. */
  HEARTBEAT_INTERVAL_MS: 1_000,
  /** Milliseconds without a received frame after which a link is closed. */
  SILENCE_TIMEOUT_MS: 3_000,
  /** Milliseconds within which a handshake must complete. */
  HANDSHAKE_TIMEOUT_MS: 2_000,
  /** Milliseconds of the first reconnect delay, before jitter. */
  INITIAL_RECONNECT_DELAY_MS: 50,
  /** Largest reconnect delay in milliseconds. */
  MAX_RECONNECT_DELAY_MS: 2_000,
  /** Milliseconds between timer checks of a link. */
  TIMER_INTERVAL_MS: 250,
  /** Largest part of a request body, in bytes, in one message. */
  BODY_CHUNK_BYTES: 65_536,
} as const;
