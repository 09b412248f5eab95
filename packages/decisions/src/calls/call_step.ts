import type {CallCommand} from './call_command.js';
import type {CallState} from './call_state.js';

/** A new state of a request and the commands that lead to it. */
export interface CallStep {
  readonly state: CallState;
  readonly commands: readonly CallCommand[];
}
