import type {ERROR_ANSWERS} from './error_answers.js';

/** Every kind of error that figfall reports. */
export type ErrorKind = keyof typeof ERROR_ANSWERS;
