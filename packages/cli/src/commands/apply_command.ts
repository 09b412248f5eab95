import type {Command} from './command.js';
import {EXIT_CODE} from './exit_code.js';
import {readRecords} from './read_records.js';
import {reportFailure} from './report_failure.js';
import {runWithRecordStore} from './run_with_record_store.js';

/** Writes records; writes nothing if any of them is not valid. */
export const applyCommand: Command = {
  summary: 'write records from files; - is standard input',
  usage: 'FILE...',
  settings: ['platformUrl'],
  flags: {
    version: {
      type: 'string',
      help: 'expected version of the stored record; 0 if it is new',
    },
  },
  run: runWithRecordStore(async ({args, flags, output, recordStore}) => {
    if (args.length === 0) {
      output.printError('Give at least one file with records.');
      return EXIT_CODE.USAGE;
    }
    const records = readRecords(args);
    if (records.isErr()) {
      output.printError(
        'Nothing was written, because some records are not valid:',
      );
      records.error.forEach(error => output.printError(`  - ${error}`));
      return EXIT_CODE.FAILED;
    }
    const defaultVersion = Number(flags.version ?? 0);
    if (!Number.isInteger(defaultVersion) || defaultVersion < 0) {
      output.printError(
        `--version ${flags.version} is not a version. Give a whole number from 0, as shown by "figfall get".`,
      );
      return EXIT_CODE.USAGE;
    }
    let code: number = EXIT_CODE.SUCCESS;
    for (const {record, text, version = defaultVersion} of records.value) {
      const name = `${record.kind} ${record.data.name}`;
      const written = await recordStore.write(record, text, version);
      if (written.isOk()) {
        output.print(`${name} is accepted as version ${written.value}`);
      } else code = reportFailure(name, written.error, output);
    }
    return code;
  }),
};
