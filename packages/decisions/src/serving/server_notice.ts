import type {RateLimitNotice} from '../limits/rate_limit_notice.js';

/** What a response of a backend server says of the server itself. */
export interface ServerNotice {
  /** The server is shutting down and wants no new requests from anyone. */
  readonly isLeaving: boolean;
  /**
   * Milliseconds for which the server wants no requests from this gateway; 0
   * if it does not ask for a pause.
   */
  readonly pauseMs: number;
  /** The request rate that the server takes from all gateways together. */
  readonly rateLimit: RateLimitNotice;
  /** Monotonic time in milliseconds at which its request was sent. */
  readonly askedAt: number;
}
