import {createReadStream, existsSync} from 'node:fs';
import {createInterface} from 'node:readline';
import {explainRequest} from '@figfall/observability';
import type {Command} from './command.js';
import {EXIT_CODE} from './exit_code.js';

async function* readLines(paths: readonly string[]): AsyncIterable<string> {
  for (const path of paths) {
    yield* createInterface({input: createReadStream(path)});
  }
}

/** Explains the outcome of a request from the logs of all processes. */
export const explainCommand: Command = {
  summary: 'explain the outcome of a request from log files',
  usage: 'REQUEST-ID FILE...',
  settings: [],
  flags: {},
  run: async ({args, output}) => {
    const [requestId, ...paths] = args;
    if (requestId === undefined || paths.length === 0) {
      output.printError('Give a request id and at least one log file.');
      return EXIT_CODE.USAGE;
    }
    const missing = paths.filter(path => !existsSync(path));
    if (missing.length > 0) {
      missing.forEach(path =>
        output.printError(`The file ${path} does not exist.`),
      );
      return EXIT_CODE.FAILED;
    }
    const explanation = await explainRequest(() => readLines(paths), requestId);
    if (!explanation) {
      output.printError(
        `No log line has the request id ${requestId}. Give the logs of all gateways, since attempts may go through different ones.`,
      );
      return EXIT_CODE.FAILED;
    }
    explanation.forEach(output.print);
    return EXIT_CODE.SUCCESS;
  },
};
