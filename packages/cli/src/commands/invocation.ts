import type {Command} from './command.js';

/** What a command is called with. */
export type Invocation = Parameters<Command['run']>[0];
