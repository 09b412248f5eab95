/** Constants of links between figfall processes. */
export const LINK = {
  /** Version of the protocol; peers with another one are refused. */
  PROTOCOL_VERSION: 1,
  /** Largest frame in bytes. */
  FRAME_BYTES_MAX: 1_048_576,
  /** Bytes of one stream that may be on their way. */
  WINDOW_BYTES: 262_144,
  /** Consumed bytes of a stream after which credit is returned. */
  CREDIT_BYTES: 65_536,
  /** Milliseconds between heartbeats on a link. */
  HEARTBEAT_MS: 1_000,
  /** Milliseconds without a frame after which a link is lost. */
  SILENCE_MS: 3_000,
  /** Milliseconds within which a handshake must end. */
  HANDSHAKE_MS: 2_000,
  /** Milliseconds before the first attempt to connect again. */
  RECONNECT_MIN_MS: 50,
  /** Largest number of milliseconds between attempts to connect. */
  RECONNECT_MAX_MS: 2_000,
  /** Milliseconds between checks of a link's timers. */
  TICK_MS: 250,
  /** Bytes of a prompt in one message. */
  BODY_CHUNK_BYTES: 65_536,
} as const;
