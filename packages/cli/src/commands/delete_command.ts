import type {Command} from './command.js';
import {EXIT_CODE} from './exit_code.js';
import {parseRecordName} from './parse_record_name.js';
import {reportFailure} from './report_failure.js';
import {runWithRecordStore} from './run_with_record_store.js';

/** Deletes a record if it still has the given version. */
export const deleteCommand: Command = {
  summary: 'delete a record',
  usage: 'KIND NAME --version N',
  settings: ['platformUrl'],
  flags: {
    version: {
      type: 'string',
      help: 'expected version of the record, as `get` prints it',
    },
  },
  run: runWithRecordStore(async ({args, flags, output, recordStore}) => {
    const named = parseRecordName(args);
    const version = Number(flags.version);
    if (named.isErr() || !Number.isInteger(version)) {
      output.printError(
        named.isErr()
          ? named.error
          : 'Give the version of the record with --version N.',
      );
      return EXIT_CODE.USAGE;
    }
    const {kind, name} = named.value;
    const removed = await recordStore.remove(kind, name, version);
    if (removed.isErr()) {
      return reportFailure(`${kind} ${name}`, removed.error, output);
    }
    output.print(`${kind} ${name} is deleted as version ${removed.value}`);
    return EXIT_CODE.SUCCESS;
  }),
};
