import type {Command} from './command.js';
import {complainOfSettings} from './complain_of_settings.js';
import {EXIT_CODE} from './exit_code.js';
import {openStore} from './open_store.js';
import {readRecords} from './read_records.js';
import {reportFailure} from './report_failure.js';

/** Writes records; nothing is written where any of them is not valid. */
export const applyCommand: Command = {
  summary: 'write records from files; - reads standard input',
  usage: 'FILE...',
  settings: ['platformUrl'],
  flags: {
    version: {
      type: 'string',
      help: 'version of the one record that this replaces',
    },
  },
  run: async invocation => {
    const {args, flags, output} = invocation;
    const opened = openStore(invocation);
    if (opened.isErr()) return complainOfSettings(opened.error, output);
    if (args.length === 0) {
      output.complain('Name at least one file with records.');
      return EXIT_CODE.USAGE;
    }
    const records = readRecords(args);
    if (records.isErr()) {
      output.complain('Nothing was written, because records are not valid:');
      records.error.forEach(error => output.complain(`  - ${error}`));
      return EXIT_CODE.FAILED;
    }
    const given = flags.version === undefined ? 0 : Number(flags.version);
    let code: number = EXIT_CODE.DONE;
    for (const {record, text, version = given} of records.value) {
      const name = `${record.kind} ${record.data.name}`;
      const written = await opened.value.store.write(record, text, version);
      if (written.isOk()) {
        output.print(`${name} is accepted as version ${written.value}`);
      } else code = reportFailure(name, written.error, output);
    }
    return code;
  },
};
