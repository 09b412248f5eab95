import type {RateLimitNotice} from '@figfall/decisions';

/** What a backend server said of itself when it was asked. */
export interface ServerCheck {
  /** True if it answered in time. */
  readonly isResponding: boolean;
  /** Start time of its process, in Unix milliseconds, if it said that. */
  readonly processStartedAt?: number;
  /** What it said of the request rate that it takes. */
  readonly rateLimit?: RateLimitNotice;
}
