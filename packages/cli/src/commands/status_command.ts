import {readStatus} from '@figfall/operator';
import type {Command} from './command.js';
import {EXIT_CODE} from './exit_code.js';
import {openRecordStore} from './open_record_store.js';
import {printSettingErrors} from './print_setting_errors.js';

/** Prints the status of the deployment, as sentences or as JSON. */
export const statusCommand: Command = {
  summary: 'print the status of the deployment',
  usage: '',
  settings: ['platformUrl'],
  flags: {json: {type: 'boolean', help: 'print JSON instead of sentences'}},
  run: async invocation => {
    const {flags, output} = invocation;
    const opened = openRecordStore(invocation);
    if (opened.isErr()) return printSettingErrors(opened.error, output);
    const status = await readStatus(opened.value.platform, Date.now());
    if (status.isErr()) {
      output.printError(`The status could not be read: ${status.error}`);
      return EXIT_CODE.FAILED;
    }
    if (flags.json) output.print(JSON.stringify(status.value));
    else status.value.sentences.forEach(output.print);
    return status.value.isInForce ? EXIT_CODE.SUCCESS : EXIT_CODE.NOT_IN_FORCE;
  },
};
