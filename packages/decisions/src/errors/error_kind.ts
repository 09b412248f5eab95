import type {ERROR_DEFINITIONS} from './error_definitions.js';

/** Every kind of error that figfall reports. */
export type ErrorKind = keyof typeof ERROR_DEFINITIONS;
