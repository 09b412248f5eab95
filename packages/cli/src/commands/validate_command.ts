import type {Command} from './command.js';
import {EXIT_CODE} from './exit_code.js';
import {readRecords} from './read_records.js';

/** Validates records in files, without access to the platform. */
export const validateCommand: Command = {
  summary: 'check records in files without writing them',
  usage: 'FILE...',
  settings: [],
  flags: {},
  run: async ({args, output}) => {
    const records = readRecords(args);
    if (records.isErr()) {
      records.error.forEach(output.printError);
      return EXIT_CODE.FAILED;
    }
    output.print(`${records.value.length} records are valid`);
    return EXIT_CODE.SUCCESS;
  },
};
