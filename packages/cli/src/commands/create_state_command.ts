import {decodeRecord} from '@figfall/operator';
import type {Command} from './command.js';
import {EXIT_CODE} from './exit_code.js';
import {parseRecordName} from './parse_record_name.js';
import {reportFailure} from './report_failure.js';
import {runWithRecordStore} from './run_with_record_store.js';

const STATE_KINDS = ['availability-zone', 'backend-server'];

/** Creates the command that takes a zone or server out of service or back in. */
export function createStateCommand(
  state: 'in' | 'out',
  summary: string,
): Command {
  return {
    summary,
    usage: '(availability-zone | backend-server) NAME',
    settings: ['platformUrl'],
    flags: {},
    run: runWithRecordStore(async ({args, output, recordStore}) => {
      const named = parseRecordName(args);
      if (named.isErr() || !STATE_KINDS.includes(named.value.kind)) {
        output.printError(
          `Give a kind (${STATE_KINDS.join(' or ')}) and a name.`,
        );
        return EXIT_CODE.USAGE;
      }
      const {kind, name} = named.value;
      const found = await recordStore.read(kind, name);
      if (found.isErr()) return reportFailure(name, found.error, output);
      if (found.value.value === undefined) {
        output.printError(`${kind} ${name} does not exist.`);
        return EXIT_CODE.FAILED;
      }
      const current = JSON.parse(found.value.value) as object;
      const since = new Date().toISOString();
      const changed = {...current, state, since};
      const record = decodeRecord(changed);
      if (record.isErr()) {
        output.printError(
          `${kind} ${name} is not valid; apply a valid version first.`,
        );
        return EXIT_CODE.FAILED;
      }
      const text = JSON.stringify(changed);
      const {version} = found.value;
      const written = await recordStore.write(record.value, text, version);
      if (written.isErr()) return reportFailure(name, written.error, output);
      output.print(
        `${kind} ${name} is set to ${state} as version ${written.value}`,
      );
      return EXIT_CODE.SUCCESS;
    }),
  };
}
