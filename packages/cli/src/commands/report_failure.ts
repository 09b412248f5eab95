import type {Failure} from '@figfall/decisions';
import {EXIT_CODE} from './exit_code.js';
import type {Output} from './output.js';

/** Prints a failure and returns the exit code for it. */
export function reportFailure(
  what: string,
  failure: Failure,
  {complain}: Output,
): number {
  complain(`${what}: ${failure.message}`);
  return failure.kind === 'version-conflict'
    ? EXIT_CODE.CONFLICT
    : EXIT_CODE.FAILED;
}
