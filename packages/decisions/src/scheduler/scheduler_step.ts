import type {SchedulerCommand} from './scheduler_command.js';
import type {SchedulerState} from './scheduler_state.js';

/** The state after an event, and the commands to carry out. */
export interface SchedulerStep {
  readonly state: SchedulerState;
  readonly commands: readonly SchedulerCommand[];
}
