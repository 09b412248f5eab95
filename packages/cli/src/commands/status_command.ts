import {readStatus} from '@figfall/operator';
import type {Command} from './command.js';
import {EXIT_CODE} from './exit_code.js';
import {runWithRecordStore} from './run_with_record_store.js';

/** Prints the status of the deployment, as sentences or as JSON. */
export const statusCommand: Command = {
  summary: 'print the status of the deployment',
  usage: '',
  settings: ['platformUrl'],
  flags: {json: {type: 'boolean', help: 'print JSON instead of sentences'}},
  run: runWithRecordStore(async ({flags, output, platform}) => {
    const status = await readStatus(platform, Date.now());
    if (status.isErr()) {
      output.printError(`The status could not be read: ${status.error}`);
      return EXIT_CODE.FAILED;
    }
    if (flags.json) output.print(JSON.stringify(status.value));
    else status.value.sentences.forEach(output.print);
    return status.value.isInForce ? EXIT_CODE.SUCCESS : EXIT_CODE.NOT_IN_FORCE;
  }),
};
