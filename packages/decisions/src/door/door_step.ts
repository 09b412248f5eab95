import type {DoorCommand} from './door_command.js';
import type {DoorState} from './door_state.js';

/** A new state of the door and the commands that lead to it. */
export interface DoorStep {
  readonly state: DoorState;
  readonly commands: readonly DoorCommand[];
}
