import type {ErrorKind} from './error_kind.js';
import type {RanState} from './ran_state.js';

/** A failure of a request or an operation, as sent to callers and nodes. */
export interface Failure {
  readonly kind: ErrorKind;
  /** What went wrong and what the caller can do, for people. */
  readonly message: string;
  /** Whether the request ran on a backend server. */
  readonly ran: RanState;
  /** Milliseconds after which the caller may retry. */
  readonly retryAfterMs?: number;
}
