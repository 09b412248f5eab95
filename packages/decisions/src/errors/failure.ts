import type {ErrorKind} from './error_kind.js';
import type {RanState} from './ran_state.js';

/** A typed failure of a request or an operation. */
export interface Failure {
  readonly kind: ErrorKind;
  /** What went wrong and what to do next. */
  readonly message: string;
  readonly ran: RanState;
  /** Milliseconds after which the caller may ask again. */
  readonly retryAfterMs?: number;
}
