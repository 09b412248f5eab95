import type {coldStart} from './cold_start.js';
import type {DoorCondition} from './door_condition.js';
import type {fairQueue} from './fair_queue.js';
import type {prefillMeter} from './prefill_meter.js';
import type {Reservation} from './reservation.js';
import type {RunningCall} from './running_call.js';

/** State of the door of one agent. */
export interface DoorState {
  readonly condition: DoorCondition;
  readonly coldStart: ReturnType<typeof coldStart.create>;
  readonly queue: ReturnType<typeof fairQueue.empty>;
  readonly running: ReadonlyMap<string, RunningCall>;
  readonly reservations: ReadonlyMap<string, Reservation>;
  readonly meter: ReturnType<typeof prefillMeter.create>;
  /** Tokens of short prompts that may pass an overdue long one. */
  readonly passing: {readonly tokens: number; readonly updatedAt: number};
}
