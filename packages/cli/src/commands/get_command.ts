import {isTombstone, recordKeys} from '@figfall/operator';
import type {Command} from './command.js';
import {EXIT_CODE} from './exit_code.js';
import {parseRecordName} from './parse_record_name.js';
import {reportFailure} from './report_failure.js';
import {runWithRecordStore} from './run_with_record_store.js';

/** Prints one record with its version, or lists the names of all records. */
export const getCommand: Command = {
  summary: 'print a record with its version, or list all records',
  usage: '[KIND NAME]',
  settings: ['platformUrl'],
  flags: {},
  run: runWithRecordStore(async ({args, output, platform, recordStore}) => {
    if (args.length === 0) {
      const listed = await platform.list(recordKeys.prefix);
      if (listed.isErr()) {
        output.printError(listed.error.message);
        return EXIT_CODE.FAILED;
      }
      listed.value.objects
        .filter(({value}) => !isTombstone(value))
        .map(({key, version}) => {
          const name = key.slice(recordKeys.prefix.length);
          return `${name} version ${version}`;
        })
        .sort()
        .forEach(output.print);
      return EXIT_CODE.SUCCESS;
    }
    const named = parseRecordName(args);
    if (named.isErr()) {
      output.printError(named.error);
      return EXIT_CODE.USAGE;
    }
    const {kind, name} = named.value;
    const found = await recordStore.read(kind, name);
    if (found.isErr()) return reportFailure(name, found.error, output);
    const {version, value} = found.value;
    if (value === undefined) {
      output.printError(`${kind} ${name} does not exist.`);
      return EXIT_CODE.FAILED;
    }
    const record = JSON.parse(value) as unknown;
    output.print(JSON.stringify({version, record}, undefined, 2));
    return EXIT_CODE.SUCCESS;
  }),
};
