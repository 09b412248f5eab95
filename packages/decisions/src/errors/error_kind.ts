import type {ERROR_DEFINITIONS} from './error_definitions.js';

/** Kind of an error, as sent to callers. */
export type ErrorKind = keyof typeof ERROR_DEFINITIONS;
