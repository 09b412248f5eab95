import {EXIT_CODE} from './exit_code.js';
import type {Output} from './output.js';

/** Prints the errors of the settings and returns the exit code. */
export function printSettingErrors(
  errors: readonly string[],
  {printError}: Output,
): number {
  printError('The settings are not valid:');
  errors.forEach(error => printError(`  - ${error}`));
  return EXIT_CODE.USAGE;
}
