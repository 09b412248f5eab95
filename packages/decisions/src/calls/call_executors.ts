import type {CallCommand} from './call_command.js';

/** Executor functions, one for each command type of the call machine. */
export type CallExecutors = {
  readonly [Type in CallCommand['type']]: (
    command: Extract<CallCommand, {readonly type: Type}>,
  ) => void;
};
