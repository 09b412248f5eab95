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

/** Prints the story of a request from the logs of all processes. */
export const explainCommand: Command = {
  summary: "print a request's story from log files",
  usage: 'REQUEST-ID FILE...',
  settings: [],
  flags: {},
  run: async ({args, output}) => {
    const [requestId, ...paths] = args;
    if (requestId === undefined || paths.length === 0) {
      output.complain('Name a request id and the log files to look in.');
      return EXIT_CODE.USAGE;
    }
    const missing = paths.filter(path => !existsSync(path));
    if (missing.length > 0) {
      missing.forEach(path => output.complain(`There is no file ${path}.`));
      return EXIT_CODE.FAILED;
    }
    const story = await explainRequest(() => readLines(paths), requestId);
    if (!story) {
      output.complain(
        `No line of these logs has the request id ${requestId}. Give the logs of all gateways, since each attempt may be at another one.`,
      );
      return EXIT_CODE.FAILED;
    }
    story.forEach(output.print);
    return EXIT_CODE.DONE;
  },
};
