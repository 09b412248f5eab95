import type {CallCommand} from './call_command.js';
import type {CallState} from './call_state.js';

/** The next state of a call and the commands to execute with it. */
export interface CallStep {
  readonly state: CallState;
  readonly commands: readonly CallCommand[];
}
