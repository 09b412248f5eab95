import {EXIT_CODE} from './exit_code.js';
import type {Output} from './output.js';

/** Prints all that is wrong with the settings. */
export function complainOfSettings(
  errors: readonly string[],
  {complain}: Output,
): number {
  complain('The settings are not valid:');
  errors.forEach(error => complain(`  - ${error}`));
  return EXIT_CODE.USAGE;
}
