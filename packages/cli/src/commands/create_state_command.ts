import {decodeRecord} from '@figfall/operator';
import type {Command} from './command.js';
import {complainOfSettings} from './complain_of_settings.js';
import {EXIT_CODE} from './exit_code.js';
import {openStore} from './open_store.js';
import {parseRecordName} from './parse_record_name.js';
import {reportFailure} from './report_failure.js';

const KINDS = ['availability-zone', 'backend-server'];

/** Creates the command that takes something out of service, or back in. */
export function createStateCommand(
  state: 'in' | 'out',
  summary: string,
): Command {
  return {
    summary,
    usage: '(availability-zone | backend-server) NAME',
    settings: ['platformUrl'],
    flags: {},
    run: async invocation => {
      const {args, output} = invocation;
      const opened = openStore(invocation);
      if (opened.isErr()) return complainOfSettings(opened.error, output);
      const named = parseRecordName(args);
      if (named.isErr() || !KINDS.includes(named.value.kind)) {
        output.complain(`Name one of ${KINDS.join(', ')}, and its name.`);
        return EXIT_CODE.USAGE;
      }
      const {kind, name} = named.value;
      const {store} = opened.value;
      const found = await store.read(kind, name);
      if (found.isErr()) return reportFailure(name, found.error, output);
      if (found.value.value === undefined) {
        output.complain(`There is no ${kind} ${name}.`);
        return EXIT_CODE.FAILED;
      }
      const current = JSON.parse(found.value.value) as object;
      const since = new Date().toISOString();
      const changed = {...current, state, since};
      const record = decodeRecord(changed);
      if (record.isErr()) {
        output.complain(`${kind} ${name} is not valid; apply it anew first.`);
        return EXIT_CODE.FAILED;
      }
      const text = JSON.stringify(changed);
      const {version} = found.value;
      const written = await store.write(record.value, text, version);
      if (written.isErr()) return reportFailure(name, written.error, output);
      output.print(
        `${kind} ${name} is declared ${state} as version ${written.value}`,
      );
      return EXIT_CODE.DONE;
    },
  };
}
