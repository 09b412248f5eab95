import {readStatus} from '@figfall/operator';
import type {Command} from './command.js';
import {complainOfSettings} from './complain_of_settings.js';
import {EXIT_CODE} from './exit_code.js';
import {openStore} from './open_store.js';

/** Prints the status as sentences. */
export const statusCommand: Command = {
  summary: 'print the status in plain sentences',
  usage: '',
  settings: ['platformUrl'],
  flags: {json: {type: 'boolean', help: 'print JSON for tools'}},
  run: async invocation => {
    const {flags, output} = invocation;
    const opened = openStore(invocation);
    if (opened.isErr()) return complainOfSettings(opened.error, output);
    const status = await readStatus(opened.value.platform, Date.now());
    if (status.isErr()) {
      output.complain(`The status can't be read: ${status.error}`);
      return EXIT_CODE.FAILED;
    }
    if (flags.json) output.print(JSON.stringify(status.value));
    else status.value.sentences.forEach(output.print);
    return status.value.isInForce ? EXIT_CODE.DONE : EXIT_CODE.NOT_YET;
  },
};
