import type {SchedulerCommand} from './scheduler_command.js';
import type {SchedulerState} from './scheduler_state.js';

/** A new state of the door and the commands that lead to it. */
export interface SchedulerStep {
  readonly state: SchedulerState;
  readonly commands: readonly SchedulerCommand[];
}
