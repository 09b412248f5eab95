import type {Command} from './command.js';
import {EXIT_CODE} from './exit_code.js';
import {readRecords} from './read_records.js';

/** Checks records without writing them. */
export const validateCommand: Command = {
  summary: 'check records in files without writing them',
  usage: 'FILE...',
  settings: [],
  flags: {},
  run: async ({args, output}) => {
    const records = readRecords(args);
    if (records.isErr()) {
      records.error.forEach(output.complain);
      return EXIT_CODE.FAILED;
    }
    output.print(`${records.value.length} records are valid`);
    return EXIT_CODE.DONE;
  },
};
