import type {Failure} from '@figfall/decisions';
import {EXIT_CODE} from './exit_code.js';
import type {Output} from './output.js';

/** Prints a failure with its subject and returns the exit code. */
export function reportFailure(
  subject: string,
  failure: Failure,
  {printError}: Output,
): number {
  printError(`${subject}: ${failure.message}`);
  return failure.kind === 'version-conflict'
    ? EXIT_CODE.CONFLICT
    : EXIT_CODE.FAILED;
}
