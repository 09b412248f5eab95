import type {Command} from './command.js';

/** The parsed arguments, the environment and the output of a command. */
export type Invocation = Parameters<Command['run']>[0];
