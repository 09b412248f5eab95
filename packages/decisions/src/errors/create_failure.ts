import {ERROR_DEFINITIONS} from './error_definitions.js';
import type {ErrorKind} from './error_kind.js';
import type {Failure} from './failure.js';

/** Creates a failure with the defaults of its kind, unless overridden. */
export function createFailure(
  kind: ErrorKind,
  message: string,
  overrides: Partial<Failure> = {},
): Failure {
  const definition: {ran: Failure['ran']; retryAfterMs?: number} =
    ERROR_DEFINITIONS[kind];
  return {
    kind,
    message,
    ran: definition.ran,
    ...(definition.retryAfterMs ? {retryAfterMs: definition.retryAfterMs} : {}),
    ...overrides,
  };
}
