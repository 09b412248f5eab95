import {agentCommand} from './agent_command.js';
import {applyCommand} from './apply_command.js';
import type {Command} from './command.js';
import {createStateCommand} from './create_state_command.js';
import {deleteCommand} from './delete_command.js';
import {devCommand} from './dev_command.js';
import {entryCommand} from './entry_command.js';
import {explainCommand} from './explain_command.js';
import {getCommand} from './get_command.js';
import {statusCommand} from './status_command.js';
import {validateCommand} from './validate_command.js';

/** The commands by name, in the order of `--help`. */
export const COMMANDS: Readonly<Record<string, Command>> = {
  entry: entryCommand,
  agent: agentCommand,
  apply: applyCommand,
  get: getCommand,
  delete: deleteCommand,
  validate: validateCommand,
  status: statusCommand,
  explain: explainCommand,
  drain: createStateCommand(
    'out',
    'take an availability zone or backend server out of service',
  ),
  restore: createStateCommand(
    'in',
    'bring an availability zone or backend server back',
  ),
  dev: devCommand,
};
