import type {Command} from './command.js';
import {complainOfSettings} from './complain_of_settings.js';
import {EXIT_CODE} from './exit_code.js';
import {openStore} from './open_store.js';
import {parseRecordName} from './parse_record_name.js';
import {reportFailure} from './report_failure.js';

/** Deletes a record over the version that the operator has seen. */
export const deleteCommand: Command = {
  summary: 'delete a record',
  usage: 'KIND NAME --version N',
  settings: ['platformUrl'],
  flags: {
    version: {type: 'string', help: 'version of the record, from get'},
  },
  run: async invocation => {
    const {args, flags, output} = invocation;
    const opened = openStore(invocation);
    if (opened.isErr()) return complainOfSettings(opened.error, output);
    const named = parseRecordName(args);
    const version = Number(flags.version);
    if (named.isErr() || !Number.isInteger(version)) {
      output.complain(
        named.isErr() ? named.error : 'Name the version with --version N.',
      );
      return EXIT_CODE.USAGE;
    }
    const {kind, name} = named.value;
    const removed = await opened.value.store.remove(kind, name, version);
    if (removed.isErr()) {
      return reportFailure(`${kind} ${name}`, removed.error, output);
    }
    output.print(`${kind} ${name} is deleted as version ${removed.value}`);
    return EXIT_CODE.DONE;
  },
};
