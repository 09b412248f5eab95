import type {coldStartLimiter} from './cold_start_limiter.js';
import type {ServerStatus} from './server_status.js';
import type {fairQueue} from './fair_queue.js';
import type {prefillMeter} from './prefill_meter.js';
import type {Reservation} from './reservation.js';
import type {RunningCall} from './running_call.js';

/** State of one agent's scheduler. */
export interface SchedulerState {
  readonly serverStatus: ServerStatus;
  readonly coldStart: ReturnType<typeof coldStartLimiter.create>;
  readonly queue: ReturnType<typeof fairQueue.empty>;
  /** Dispatched calls by call id. */
  readonly running: ReadonlyMap<string, RunningCall>;
  /** Reservations by id, in order of arrival. */
  readonly reservations: ReadonlyMap<string, Reservation>;
  readonly meter: ReturnType<typeof prefillMeter.create>;
  /** Limits the prompt tokens that overtake an overdue long prefill. */
  readonly overtakeBucket: {
    readonly tokens: number;
    readonly updatedAt: number;
  };
}
