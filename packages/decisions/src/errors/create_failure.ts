import {ERROR_DEFINITIONS} from './error_definitions.js';
import type {ErrorKind} from './error_kind.js';
import type {Failure} from './failure.js';

/** Creates a failure, taking unset fields from the table of answers. */
export function createFailure(
  kind: ErrorKind,
  message: string,
  overrides: Partial<Failure> = {},
): Failure {
  const answer: {ran: Failure['ran']; retryAfterMs?: number} =
    ERROR_DEFINITIONS[kind];
  return {
    kind,
    message,
    ran: answer.ran,
    ...(answer.retryAfterMs ? {retryAfterMs: answer.retryAfterMs} : {}),
    ...overrides,
  };
}
