import type {coldStartLimiter} from './cold_start_limiter.js';
import type {ServerStatus} from './server_status.js';
import type {fairQueue} from './fair_queue.js';
import type {prefillMeter} from './prefill_meter.js';
import type {Reservation} from './reservation.js';
import type {RunningCall} from './running_call.js';

/** State of the door of one agent. */
export interface SchedulerState {
  readonly serverStatus: ServerStatus;
  readonly coldStart: ReturnType<typeof coldStartLimiter.create>;
  readonly queue: ReturnType<typeof fairQueue.empty>;
  readonly running: ReadonlyMap<string, RunningCall>;
  readonly reservations: ReadonlyMap<string, Reservation>;
  readonly meter: ReturnType<typeof prefillMeter.create>;
  /** Tokens of short prompts that may pass an overdue long one. */
  readonly overtakeBucket: {
    readonly tokens: number;
    readonly updatedAt: number;
  };
}
