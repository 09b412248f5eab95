import type {CallCommand} from './call_command.js';

/** One executor for each command of the call machine. */
export type CallExecutors = {
  readonly [Type in CallCommand['type']]: (
    command: Extract<CallCommand, {readonly type: Type}>,
  ) => void;
};
